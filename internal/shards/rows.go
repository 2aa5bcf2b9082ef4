package shards

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Tables and row names. The rows of a shard share one partition, so that a commit to several of
// them is cheap. The leaders of all shards are in a second table, which every daemon follows.
const (
	tableShards  = "shards"
	tableLeaders = "shard-leaders"

	headRowName    = "head"
	logRowPrefix   = "log/"
	stateRowPrefix = "state/"
	countRowName   = "count" // row in tableLeaders with the number of shards
)

// head is the content of a shard's head row. Every commit to the log requires that the head row
// still has the version that the leader knows.
type head struct {
	Leader    identity.Process `cbor:"p"`
	Term      Term             `cbor:"t"`
	Last      uint64           `cbor:"l"` // index of the last log batch
	Snapshot  uint64           `cbor:"s"` // index of the last log batch that the snapshot includes; 0: no snapshot
	StateName string           `cbor:"n"` // name prefix of the snapshot's rows
	StateRows int              `cbor:"r"`
	Nonce     uint64           `cbor:"x"` // random; identifies a commit whose answer was lost
}

// leaderRow is the row of a shard in tableLeaders.
type leaderRow struct {
	Leader identity.Process `cbor:"p"`
	Term   Term             `cbor:"t"`
	Former identity.Process `cbor:"f"`
}

func partitionName(shard identity.Shard) string { return strconv.FormatUint(uint64(shard), 10) }

func headKey(shard identity.Shard) state.Key {
	return state.Key{Table: tableShards, Partition: partitionName(shard), Name: headRowName}
}

func leaderKey(shard identity.Shard) state.Key {
	return state.Key{Table: tableLeaders, Name: partitionName(shard)}
}

// logRowName returns the name prefix of the rows of the log batch with the index. The prefixes
// sort by index.
func logRowName(index uint64) string { return fmt.Sprintf("%s%016x/", logRowPrefix, index) }

// splitRows splits the content into puts of at most rowBytes bytes each. The name of each row
// is the given name followed by its position as four hexadecimal digits.
func splitRows(shard identity.Shard, name string, content []byte, rowBytes int) []state.Put {
	var puts []state.Put
	for piece := range slices.Chunk(content, rowBytes) {
		key := state.Key{Table: tableShards, Partition: partitionName(shard), Name: name + fmt.Sprintf("%04x", len(puts))}
		puts = append(puts, state.Put{Key: key, Value: piece})
	}
	return puts
}

// encode returns the CBOR encoding of the value. It panics if the type cannot be encoded.
func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// storedShard is the content of a shard's rows.
type storedShard struct {
	head    head
	version state.Version // version of the head row; 0: the row does not exist
	state   []byte
	batches [][][]byte // log batches after the snapshot, in order
}

// errInconsistentRows means that rows were changed while they were read, so that they must be
// read again.
var errInconsistentRows = eris.New("the rows of the shard are inconsistent with its head")

// assemble decodes the rows of a shard. It returns errInconsistentRows if rows that the head
// refers to are missing or cannot be decoded.
func assemble(rows []state.Row) (*storedShard, error) {
	stored := &storedShard{}
	pieces := map[string][]byte{}
	for _, row := range rows {
		if row.Key.Name == headRowName {
			if err := cbor.Unmarshal(row.Value, &stored.head); err != nil {
				return nil, eris.Wrap(err, "decode the head of a shard")
			}
			stored.version = row.Version
			continue
		}
		pieces[row.Key.Name] = row.Value
	}
	for number := range stored.head.StateRows {
		piece, found := pieces[stored.head.StateName+fmt.Sprintf("%04x", number)]
		if !found {
			return nil, errInconsistentRows
		}
		stored.state = append(stored.state, piece...)
	}
	for index := stored.head.Snapshot + 1; index <= stored.head.Last; index++ {
		batch, err := decodeBatch(pieces, index)
		if err != nil {
			return nil, err
		}
		stored.batches = append(stored.batches, batch)
	}
	return stored, nil
}

// decodeBatch returns the commands of the log batch with the index, or errInconsistentRows if
// its rows are missing or incomplete.
func decodeBatch(pieces map[string][]byte, index uint64) ([][]byte, error) {
	var content []byte
	name := logRowName(index)
	for number := 0; ; number++ {
		piece, found := pieces[name+fmt.Sprintf("%04x", number)]
		if !found {
			break
		}
		content = append(content, piece...)
	}
	var batch [][]byte
	if len(content) == 0 || cbor.Unmarshal(content, &batch) != nil {
		return nil, errInconsistentRows
	}
	return batch, nil
}

// supersededKeys returns the keys of the log and snapshot rows that the snapshot in the head
// replaces.
func supersededKeys(rows []state.Row, current head) []state.Key {
	var keys []state.Key
	for _, row := range rows {
		name := row.Key.Name
		oldState := strings.HasPrefix(name, stateRowPrefix) && !strings.HasPrefix(name, current.StateName)
		oldLog := strings.HasPrefix(name, logRowPrefix) && name < logRowName(current.Snapshot+1)
		if oldState || oldLog {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

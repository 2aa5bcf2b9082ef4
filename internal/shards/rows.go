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

// The tables. A shard's rows share a partition, so that they are committed
// together cheaply; the leaders of all shards lie in one more table, which
// every daemon follows.
const (
	tableShards  = "shards"
	tableLeaders = "shard-leaders"

	nameHead    = "head"
	prefixLog   = "log/"
	prefixState = "state/"
	nameCount   = "count" // in tableLeaders: the number of shards
)

// head is the row on whose version every commit of a shard hangs.
type head struct {
	Leader    identity.Process `cbor:"p"`
	Term      Term             `cbor:"t"`
	Last      uint64           `cbor:"l"` // index of the last batch
	Snapshot  uint64           `cbor:"s"` // index up to which a snapshot holds the state; 0: none
	StateName string           `cbor:"n"` // of the snapshot's rows
	StateRows int              `cbor:"r"`
	Nonce     uint64           `cbor:"x"` // tells whether a commit without an answer was done
}

// leaderRow is a shard's row in tableLeaders.
type leaderRow struct {
	Leader identity.Process `cbor:"p"`
	Term   Term             `cbor:"t"`
	Former identity.Process `cbor:"f"`
}

func partitionOf(shard identity.Shard) string { return strconv.FormatUint(uint64(shard), 10) }

func headKey(shard identity.Shard) state.Key {
	return state.Key{Table: tableShards, Partition: partitionOf(shard), Name: nameHead}
}

func leaderKey(shard identity.Shard) state.Key {
	return state.Key{Table: tableLeaders, Name: partitionOf(shard)}
}

func logName(index uint64) string { return fmt.Sprintf("%s%016x/", prefixLog, index) }

// piecesOf cuts content into rows under the name.
func piecesOf(shard identity.Shard, name string, content []byte, rowBytes int) []state.Put {
	var puts []state.Put
	for piece := range slices.Chunk(content, rowBytes) {
		key := state.Key{Table: tableShards, Partition: partitionOf(shard), Name: name + fmt.Sprintf("%04x", len(puts))}
		puts = append(puts, state.Put{Key: key, Value: piece})
	}
	return puts
}

func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // only for types that cannot be encoded at all
	}
	return encoded
}

// loaded is all that the store holds of a shard.
type loaded struct {
	head    head
	version state.Version // of the head; 0: there is none
	state   []byte
	batches [][][]byte // after the snapshot, in order
}

// errBehind says that the rows read are not of one moment; they are read again.
var errBehind = eris.New("the rows of the shard do not fit its head")

// assemble puts the rows of a shard together.
func assemble(rows []state.Row) (*loaded, error) {
	made := &loaded{}
	pieces := map[string][]byte{}
	for _, row := range rows {
		if row.Key.Name == nameHead {
			if err := cbor.Unmarshal(row.Value, &made.head); err != nil {
				return nil, eris.Wrap(err, "decode the head of a shard")
			}
			made.version = row.Version
			continue
		}
		pieces[row.Key.Name] = row.Value
	}
	for number := range made.head.StateRows {
		piece, found := pieces[made.head.StateName+fmt.Sprintf("%04x", number)]
		if !found {
			return nil, errBehind
		}
		made.state = append(made.state, piece...)
	}
	for index := made.head.Snapshot + 1; index <= made.head.Last; index++ {
		batch, err := batchOf(pieces, index)
		if err != nil {
			return nil, err
		}
		made.batches = append(made.batches, batch)
	}
	return made, nil
}

func batchOf(pieces map[string][]byte, index uint64) ([][]byte, error) {
	var content []byte
	name := logName(index)
	for number := 0; ; number++ {
		piece, found := pieces[name+fmt.Sprintf("%04x", number)]
		if !found {
			break
		}
		content = append(content, piece...)
	}
	var batch [][]byte
	if len(content) == 0 || cbor.Unmarshal(content, &batch) != nil {
		return nil, errBehind
	}
	return batch, nil
}

// superseded lists the rows that a snapshot made needless.
func superseded(rows []state.Row, current head) []state.Key {
	var keys []state.Key
	for _, row := range rows {
		name := row.Key.Name
		oldState := strings.HasPrefix(name, prefixState) && !strings.HasPrefix(name, current.StateName)
		oldLog := strings.HasPrefix(name, prefixLog) && name < logName(current.Snapshot+1)
		if oldState || oldLog {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

package turn

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// rowsOf cuts a record into rows: NAME, NAME/1, NAME/2 and so on.
func rowsOf(identifier, partition string, value []byte, rowBytes int) ([]state.Put, error) {
	var puts []state.Put
	for piece := range slices.Chunk(value, rowBytes) {
		name := identifier
		if len(puts) > 0 {
			name += separator + strconv.Itoa(len(puts))
		}
		puts = append(puts, state.Put{Key: state.Key{Table: table, Partition: partition, Name: name}, Value: piece})
	}
	if len(puts) > maxRowsPerTurn {
		return nil, eris.Wrapf(ErrTooLarge, "cut turn of %d bytes into rows", len(value))
	}
	return puts, nil
}

// decode joins the rows of a record.
func decode(identifier string, rows []state.Row) (Record, error) {
	pieces := make(map[string][]byte, len(rows))
	for _, row := range rows {
		pieces[row.Key.Name] = row.Value
	}
	value, found := pieces[identifier]
	if !found {
		return Record{}, ErrNotFound
	}
	for number := 1; ; number++ {
		piece, more := pieces[identifier+separator+strconv.Itoa(number)]
		if !more {
			break
		}
		value = append(slices.Clip(value), piece...)
	}
	var record Record
	if err := cbor.Unmarshal(value, &record); err != nil {
		return Record{}, eris.Wrap(err, "decode turn")
	}
	return record, nil
}

// placesOf spreads turns over the partitions, since the store commits within
// one partition in turn, and gives each turn several different ones.
func placesOf(identifier string) []string {
	hash := xxhash.Sum64String(identifier)
	home, step := hash%partitions, 2*(hash>>32%(partitions/2))+1
	var chosen []string
	for number := range uint64(places) {
		chosen = append(chosen, strconv.FormatUint((home+number*step)%partitions, 16))
	}
	return chosen
}

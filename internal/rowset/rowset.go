// Package rowset stores values that are larger than one row of the store. It splits a value
// into rows of one partition, which are written by one commit and read by one read. Each row
// contains its expiry time, so that expired rows can be removed without decoding the value.
//
// Join returns exactly the value that was passed to Cut, or one of the errors of this package.
package rowset

import (
	"errors"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// Errors of Join and Cut.
var (
	// ErrNotFound means that the first row of the value does not exist.
	ErrNotFound = errors.New("the value does not exist")
	// ErrInconsistent means that rows of the value are missing or belong to another value.
	ErrInconsistent = errors.New("rows of the value are missing or do not match")
	// ErrUnknownFormat means that a row cannot be decoded: another program wrote it, or it has a
	// format that this version does not know.
	ErrUnknownFormat = errors.New("the row has an unknown format")
	// ErrTooLarge means that the value does not fit into one commit.
	ErrTooLarge = errors.New("the value does not fit into one commit")
)

const (
	formatVersion = 2 // version 1 had no envelope
	// maxEnvelopeBytes is the largest size of a row in bytes, not counting its part of the
	// value.
	maxEnvelopeBytes = 24
	maxRows          = 11 // rows of one value; 11 rows of 64 KiB, encoded as base64, fit into a commit of 1 MB
	separator        = "/"
	rangeEndSuffix   = "0" // the character after the separator; ends the range of a value's rows
	// PartitionCount is the number of partitions over which values are spread. The store executes
	// commits of different partitions in parallel, but those of one partition one after
	// another.
	PartitionCount = 256
	// partitionsPerValue is the number of partitions in which a value may be stored. A value is
	// stored in the first of them that accepts it, so that it can be written even if some of
	// them are down.
	partitionsPerValue = 5
)

// envelope is the content of one row, encoded as a CBOR array.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Format  uint8
	Expires int64  // Unix time in seconds from which the row may be removed
	Number  uint16 // position of the row in the value, from 0
	Count   uint16 // number of rows of the value
	Part    []byte // part of the value
}

// Value is a value that Join read.
type Value struct {
	Bytes     []byte
	ExpiresAt int64 // Unix time in seconds from which the value may be removed
	RowCount  int   // number of rows that hold the value
}

// Capacity returns the size in bytes of the largest value that fits into one commit, if a row
// holds at most rowBytes bytes.
func Capacity(rowBytes int) int { return maxRows * (rowBytes - maxEnvelopeBytes) }

// Split splits a value into rows of at most rowBytes bytes, named NAME, NAME/1, NAME/2 and so on.
// expires is the Unix time in seconds from which the rows may be removed. Cut returns
// ErrTooLarge if the value does not fit into one commit.
func Split(key state.Key, value []byte, expires int64, rowBytes int) ([]state.Put, error) {
	if len(value) > Capacity(rowBytes) {
		return nil, eris.Wrapf(ErrTooLarge, "split %d bytes into rows", len(value))
	}
	parts := slices.Collect(slices.Chunk(value, rowBytes-maxEnvelopeBytes))
	if len(parts) == 0 {
		parts = [][]byte{nil}
	}
	puts := make([]state.Put, 0, len(parts))
	for number, part := range parts {
		row, err := cbor.Marshal(envelope{Format: formatVersion, Expires: expires, Number: uint16(number), Count: uint16(len(parts)), Part: part})
		if err != nil {
			return nil, eris.Wrap(err, "encode row")
		}
		puts = append(puts, state.Put{Key: rowKey(key, number), Value: row})
	}
	return puts, nil
}

// rowKey returns the key of the row with the number, where key is that of row 0.
func rowKey(key state.Key, number int) state.Key {
	if number > 0 {
		key.Name += separator + strconv.Itoa(number)
	}
	return key
}

// RangeOf returns a range that contains all rows of the value with the key.
func RangeOf(key state.Key) state.Range {
	return state.Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + rangeEndSuffix}
}

// Join returns the value with the name. rows may also contain rows of other values.
func Join(name string, rows []state.Row) (Value, error) {
	byName := make(map[string]state.Row, len(rows))
	for _, row := range rows {
		byName[row.Key.Name] = row
	}
	first, found := byName[name]
	if !found {
		return Value{}, ErrNotFound
	}
	head, err := decodeRow(first)
	if err != nil {
		return Value{}, err
	}
	value := Value{Bytes: head.Part, ExpiresAt: head.Expires, RowCount: int(head.Count)}
	for number := 1; number < int(head.Count); number++ {
		row, found := byName[rowKey(state.Key{Name: name}, number).Name]
		if !found {
			return Value{}, eris.Wrapf(ErrInconsistent, "row %d of %d is missing", number, head.Count)
		}
		next, err := decodeRow(row)
		if err != nil {
			return Value{}, err
		}
		if next.Expires != head.Expires || next.Count != head.Count || int(next.Number) != number {
			return Value{}, eris.Wrapf(ErrInconsistent, "row %d of %d belongs to another value", number, head.Count)
		}
		value.Bytes = append(value.Bytes, next.Part...)
	}
	return value, nil
}

// decodeRow decodes the envelope of a row. It returns ErrUnknownFormat if that fails.
func decodeRow(row state.Row) (envelope, error) {
	var decoded envelope
	if err := cbor.Unmarshal(row.Value, &decoded); err != nil {
		return envelope{}, eris.Wrapf(ErrUnknownFormat, "row %s: %v", row.Key.Name, err)
	}
	if decoded.Format != formatVersion || decoded.Count == 0 {
		return envelope{}, eris.Wrapf(ErrUnknownFormat, "row %s: format %d", row.Key.Name, decoded.Format)
	}
	return decoded, nil
}

// Expires returns the Unix time in seconds from which a row may be removed. The second result
// is false if the row was not written by this package.
func ExpiryOf(row state.Row) (int64, bool) {
	decoded, err := decodeRow(row)
	return decoded.Expires, err == nil
}

// PartitionsOf returns the names of the partitions in which the value with the name may be stored,
// the most likely one first.
func PartitionsOf(name string) []string {
	hash := xxhash.Sum64String(name)
	home, step := hash%PartitionCount, 2*(hash>>32%(PartitionCount/2))+1
	partitions := make([]string, 0, partitionsPerValue)
	for number := range uint64(partitionsPerValue) {
		partitions = append(partitions, strconv.FormatUint((home+number*step)%PartitionCount, 16))
	}
	return partitions
}

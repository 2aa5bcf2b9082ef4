// Package rowset keeps values that are larger than a row of the store: a value is
// cut into rows of one partition, which are written with one commit and read with
// one reading. Each row tells when it may be removed, so that a sweep needs to know
// nothing of the value.
//
// Guarantee: Join returns exactly the value that was cut, or a typed error.
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
	// ErrAbsent says that the first row is not there.
	ErrAbsent = errors.New("there is no such value")
	// ErrTorn says that rows of the value are missing or do not belong together.
	ErrTorn = errors.New("the value's rows are not whole")
	// ErrFormat says that a row was written by another writer, or in a format that
	// this version does not know.
	ErrFormat = errors.New("the row's format is not known")
	// ErrTooLarge says that one commit does not hold the value.
	ErrTooLarge = errors.New("one commit does not hold the value")
)

const (
	format = 2 // the former one had no envelope
	// envelopeBytes bounds what a row needs besides its part of the value.
	envelopeBytes  = 24
	mostRows       = 11 // a commit holds 1 MB of base64 text; rows of 64 KiB are usual
	separator      = "/"
	afterSeparator = "0" // the byte after the separator: the end of a value's rows
	// Partitions is how many partitions values are spread over: the store commits
	// within one partition in turn.
	Partitions = 256
	// places is how many partitions a value may lie in: a part of them may be down
	// while the others serve. It lies in the first that took it.
	places = 5
)

// envelope is one row.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Format  uint8
	Expires int64 // unix seconds from which the row may be removed
	Number  uint16
	Count   uint16 // of the value's rows
	Part    []byte
}

// Value is a value as it was read.
type Value struct {
	Bytes   []byte
	Expires int64 // unix seconds from which it may be removed
	Rows    int
}

// Capacity is how many bytes one commit holds.
func Capacity(rowBytes int) int { return mostRows * (rowBytes - envelopeBytes) }

// Cut cuts a value into rows NAME, NAME/1, NAME/2 and so on, or returns ErrTooLarge.
func Cut(key state.Key, value []byte, expires int64, rowBytes int) ([]state.Put, error) {
	if len(value) > Capacity(rowBytes) {
		return nil, eris.Wrapf(ErrTooLarge, "cut %d bytes into rows", len(value))
	}
	parts := slices.Collect(slices.Chunk(value, rowBytes-envelopeBytes))
	if len(parts) == 0 {
		parts = [][]byte{nil}
	}
	puts := make([]state.Put, 0, len(parts))
	for number, part := range parts {
		row, err := cbor.Marshal(envelope{Format: format, Expires: expires, Number: uint16(number), Count: uint16(len(parts)), Part: part})
		if err != nil {
			return nil, eris.Wrap(err, "encode row")
		}
		puts = append(puts, state.Put{Key: rowKey(key, number), Value: row})
	}
	return puts, nil
}

func rowKey(key state.Key, number int) state.Key {
	if number > 0 {
		key.Name += separator + strconv.Itoa(number)
	}
	return key
}

// Range selects the rows of a value.
func Range(key state.Key) state.Range {
	return state.Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + afterSeparator}
}

// Join returns the value of that name among rows.
func Join(name string, rows []state.Row) (Value, error) {
	byName := make(map[string]state.Row, len(rows))
	for _, row := range rows {
		byName[row.Key.Name] = row
	}
	first, found := byName[name]
	if !found {
		return Value{}, ErrAbsent
	}
	head, err := open(first)
	if err != nil {
		return Value{}, err
	}
	value := Value{Bytes: head.Part, Expires: head.Expires, Rows: int(head.Count)}
	for number := 1; number < int(head.Count); number++ {
		row, found := byName[rowKey(state.Key{Name: name}, number).Name]
		if !found {
			return Value{}, eris.Wrapf(ErrTorn, "row %d of %d is missing", number, head.Count)
		}
		next, err := open(row)
		if err != nil {
			return Value{}, err
		}
		if next.Expires != head.Expires || next.Count != head.Count || int(next.Number) != number {
			return Value{}, eris.Wrapf(ErrTorn, "row %d of %d belongs to another value", number, head.Count)
		}
		value.Bytes = append(value.Bytes, next.Part...)
	}
	return value, nil
}

func open(row state.Row) (envelope, error) {
	var opened envelope
	if err := cbor.Unmarshal(row.Value, &opened); err != nil {
		return envelope{}, eris.Wrapf(ErrFormat, "row %s: %v", row.Key.Name, err)
	}
	if opened.Format != format || opened.Count == 0 {
		return envelope{}, eris.Wrapf(ErrFormat, "row %s: format %d", row.Key.Name, opened.Format)
	}
	return opened, nil
}

// Expires tells from which unix second a row may be removed; false: it is no row of
// this package.
func Expires(row state.Row) (int64, bool) {
	opened, err := open(row)
	return opened.Expires, err == nil
}

// PlacesOf names the partitions in which a value may lie, the likely one first.
func PlacesOf(name string) []string {
	hash := xxhash.Sum64String(name)
	home, step := hash%Partitions, 2*(hash>>32%(Partitions/2))+1
	chosen := make([]string, 0, places)
	for number := range uint64(places) {
		chosen = append(chosen, strconv.FormatUint((home+number*step)%Partitions, 16))
	}
	return chosen
}

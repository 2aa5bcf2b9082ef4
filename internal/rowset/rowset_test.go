package rowset_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// rowsOf returns the rows that a commit of the puts writes.
func rowsOf(puts []state.Put) []state.Row {
	rows := make([]state.Row, 0, len(puts))
	for _, put := range puts {
		rows = append(rows, state.Row{Key: put.Key, Value: put.Value, Version: 1})
	}
	return rows
}

// TestJoinReturnsWholeValueOrError splits random values. Join returns the same value from all
// rows, and an error if one row is missing or truncated. No row is larger than allowed.
func TestJoinReturnsWholeValueOrError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rowBytes := rapid.IntRange(40, 300).Draw(t, "row bytes")
		value := rapid.SliceOfN(rapid.Byte(), 0, rowset.Capacity(rowBytes)).Draw(t, "value")
		key := state.Key{Table: "t", Partition: "1", Name: "name"}
		puts, err := rowset.Split(key, value, 1<<40, rowBytes)
		if err != nil {
			t.Fatalf("split: %v", err)
		}
		rows := rowsOf(puts)
		for _, row := range rows {
			if len(row.Value) > rowBytes {
				t.Fatalf("a row of %d bytes, more than %d", len(row.Value), rowBytes)
			}
			if expires, ours := rowset.ExpiryOf(row); !ours || expires != 1<<40 {
				t.Fatalf("ExpiryOf(%s) is wrong or unknown", row.Key.Name)
			}
		}
		joined, err := rowset.Join("name", rows)
		if err != nil || !bytes.Equal(joined.Bytes, value) {
			t.Fatalf("joined %d of %d bytes: %v", len(joined.Bytes), len(value), err)
		}
		damaged := rapid.IntRange(0, len(rows)-1).Draw(t, "damaged")
		if rapid.Bool().Draw(t, "missing") {
			rows = append(rows[:damaged], rows[damaged+1:]...)
		} else {
			rows[damaged].Value = rows[damaged].Value[:len(rows[damaged].Value)-1]
		}
		if _, err := rowset.Join("name", rows); err == nil {
			t.Fatal("Join succeeded with a missing or truncated row")
		}
	})
}

func TestJoinRejectsRowsOfDifferentValues(t *testing.T) {
	key := state.Key{Table: "t", Partition: "1", Name: "name"}
	older, err := rowset.Split(key, bytes.Repeat([]byte("o"), 200), 1000, 100)
	if err != nil {
		t.Fatal(err)
	}
	newer, err := rowset.Split(key, bytes.Repeat([]byte("n"), 200), 2000, 100)
	if err != nil {
		t.Fatal(err)
	}
	rows := rowsOf(append(newer[:1], older[1:]...))
	if _, err := rowset.Join("name", rows); !errors.Is(err, rowset.ErrInconsistent) {
		t.Fatalf("Join of rows of two values returned %v, want ErrInconsistent", err)
	}
	if _, err := rowset.Join("another", rows); !errors.Is(err, rowset.ErrNotFound) {
		t.Fatalf("Join of a value that does not exist returned %v, want ErrNotFound", err)
	}
}

func TestSplitRejectsValueLargerThanOneCommit(t *testing.T) {
	const rowBytes = 100
	if _, err := rowset.Split(state.Key{}, make([]byte, rowset.Capacity(rowBytes)+1), 1, rowBytes); !errors.Is(err, rowset.ErrTooLarge) {
		t.Fatalf("split: %v", err)
	}
}

package turn_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// keyOf returns the key of a turn's first row in its most likely partition.
func keyOf(identifier string) state.Key {
	return state.Key{Table: "turns", Partition: rowset.PartitionsOf(identifier)[0], Name: identifier}
}

// writeLegacyTurn writes a turn in the legacy format, with the whole history in one row.
func writeLegacyTurn(store *memorystore.Store, identifier, history string, expires time.Time) {
	value, err := cbor.Marshal(map[string]any{"h": []byte(history), "e": "e", "x": expires.Unix()})
	Expect(err).NotTo(HaveOccurred())
	store.Write(state.Put{Key: keyOf(identifier), Value: value})
}

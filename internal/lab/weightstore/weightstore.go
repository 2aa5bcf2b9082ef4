// Package weightstore provides a stand-in for the platform's store of model
// weights, with a rate limit.
package weightstore

import (
	"net/http"

	platformv1 "github.com/thymeloft/thymeloft/api/platform/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

const streamChunkBytes = 1 << 16

// Options configure a weight store.
type Options struct {
	Sizes             map[string]int64 // size in bytes by "model/version"
	DefaultBytes      int64            // size of versions that are not in Sizes; 0 means that they get status 404
	RequestsPerSecond float64          // rate limit for all clients together; 0 means none
	Burst             int              // requests that may exceed the rate at once
}

// Store is a store of model weights and its HTTP handler. Safe for concurrent use.
type Store struct {
	http.Handler
	Faults  *standin.Faults
	options Options
}

// New returns a store. The weights that it streams are all null bytes.
func New(options Options) *Store {
	store := &Store{Faults: &standin.Faults{}, options: options}
	service := http.NewServeMux()
	service.HandleFunc("GET "+platformv1.PathWeights+"{model}/{version}/size", store.handleSize)
	service.HandleFunc("GET "+platformv1.PathWeights+"{model}/{version}", store.handleStream)
	limited := standin.RateLimit(options.RequestsPerSecond, options.Burst, store.Faults.Wrap(standin.MethodAndPath, service))
	store.Handler = standin.NewMux(limited, store.Faults, nil)
	return store
}

// sizeOf returns the size in bytes of the requested version. If there is none, it
// responds with status 404 and returns false.
func (s *Store) sizeOf(w http.ResponseWriter, r *http.Request) (int64, bool) {
	size, found := s.options.Sizes[r.PathValue("model")+"/"+r.PathValue("version")]
	if !found {
		size = s.options.DefaultBytes
	}
	if size == 0 {
		http.Error(w, "no such version", http.StatusNotFound)
		return 0, false
	}
	return size, true
}

func (s *Store) handleSize(w http.ResponseWriter, r *http.Request) {
	if size, found := s.sizeOf(w, r); found {
		standin.WriteJSON(w, http.StatusOK, platformv1.WeightSize{Bytes: size})
	}
}

func (s *Store) handleStream(w http.ResponseWriter, r *http.Request) {
	remaining, found := s.sizeOf(w, r)
	chunk := make([]byte, streamChunkBytes)
	for found && remaining > 0 {
		count, err := w.Write(chunk[:min(remaining, streamChunkBytes)])
		if err != nil {
			return
		}
		remaining -= int64(count)
	}
}

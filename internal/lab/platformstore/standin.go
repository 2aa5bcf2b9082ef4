package platformstore

import (
	"net/http"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// Options of a stand-in.
type Options struct {
	RequestsPerSecond float64 // 0: no limit
	Burst             int
}

// StandIn is the store as the lab's fleets use it: its protocol, faults that
// are set over HTTP or by the lab itself, and a rate limit.
type StandIn struct {
	http.Handler
	Store  *memorystore.Store
	Faults *standin.Faults
}

// New makes an empty store.
func New(options Options) *StandIn {
	made := &StandIn{Store: memorystore.New(), Faults: &standin.Faults{}}
	served := made.Faults.Around(standin.MethodAndPath, &Handler{Store: made.Store})
	limited := standin.Limit(options.RequestsPerSecond, options.Burst, served)
	made.Handler = standin.Mount(limited, made.Faults, func() any { return struct{}{} })
	return made
}

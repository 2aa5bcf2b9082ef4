package platformstore

import (
	"net/http"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// Options configure a StandIn.
type Options struct {
	RequestsPerSecond float64 // rate limit for all clients together; 0 means none
	Burst             int     // requests that may exceed the rate at once
}

// StandIn is a store with fault rules and a rate limit. The rules can be set
// over HTTP at standin.PathFaults or through Faults.
type StandIn struct {
	http.Handler
	Store  *memorystore.Store
	Faults *standin.Faults
}

// New returns a StandIn with an empty store.
func New(options Options) *StandIn {
	standIn := &StandIn{Store: memorystore.New(), Faults: &standin.Faults{}}
	service := standIn.Faults.Wrap(standin.MethodAndPath, &Handler{Store: standIn.Store})
	limited := standin.RateLimit(options.RequestsPerSecond, options.Burst, service)
	standIn.Handler = standin.NewMux(limited, standIn.Faults, func() any { return struct{}{} })
	return standIn
}

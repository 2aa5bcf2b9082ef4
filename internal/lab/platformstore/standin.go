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
	created := &StandIn{Store: memorystore.New(), Faults: &standin.Faults{}}
	service := created.Faults.Around(standin.MethodAndPath, &Handler{Store: created.Store})
	limited := standin.Limit(options.RequestsPerSecond, options.Burst, service)
	created.Handler = standin.Mount(limited, created.Faults, func() any { return struct{}{} })
	return created
}

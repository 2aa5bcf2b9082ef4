// Package platform defines the interfaces of the platform's services other than the
// store (see internal/state): the weight store and the machine list. Requests of
// callers never wait for these services.
package platform

import (
	"context"
	"errors"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Errors of the platform's services, to be tested with errors.Is. After
// ErrUnknownOutcome a write may have been applied; read it back by its identifier
// before repeating it.
var (
	ErrConditionFailed = errors.New("condition failed")
	ErrRateLimited     = errors.New("rate limited")
	ErrUnavailable     = errors.New("platform unavailable")
	ErrUnknownOutcome  = errors.New("outcome of the write unknown")
	ErrNotFound        = errors.New("not found")
)

// MachineState is the state of a machine in the machine list.
type MachineState string

// The states of machines.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineKind is the kind of process that runs on a machine.
type MachineKind string

// The kinds of machines.
const (
	MachineDaemon  MachineKind = "daemon"
	MachineEngine  MachineKind = "engine"
	MachineService MachineKind = "service"
)

// Machine is an entry of the machine list.
type Machine struct {
	Name    identity.Machine
	Kind    MachineKind
	Address string // host and port, or URL, of its process; may be empty
	Zone    identity.Zone
	State   MachineState
}

// MachineList is the platform's machine list.
type MachineList interface {
	// List returns all machines. The list may be out of date.
	List(ctx context.Context) ([]Machine, error)
}

// WeightStore is the platform's weight store, which limits the rate of requests.
// Engines load model weights from it; other processes only ask for their size.
type WeightStore interface {
	// Size returns the size of the weights of a model's version, in bytes. The error
	// is ErrNotFound if there is no such version.
	Size(ctx context.Context, model, version string) (int64, error)
}

// Package platform has the ports to what the platform gives beside its store
// (internal/state): a weight store and a lagging list of machines. No request's
// path waits for either.
package platform

import (
	"context"
	"errors"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Errors of the platform. A write that ended in ErrUnknownOutcome may have
// taken effect: read it back by its own identifier before trying again.
var (
	ErrConditionFailed = errors.New("condition failed")
	ErrRateLimited     = errors.New("rate limited")
	ErrUnavailable     = errors.New("platform unavailable")
	ErrUnknownOutcome  = errors.New("outcome of the write unknown")
	ErrNotFound        = errors.New("not found")
)

// MachineState is what the machine list says of a machine.
type MachineState string

// The states in the machine list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineKind is what runs on a listed machine.
type MachineKind string

// The kinds of machines.
const (
	MachineDaemon  MachineKind = "daemon"
	MachineEngine  MachineKind = "engine"
	MachineService MachineKind = "service"
)

// ListedMachine is one entry of the lagging machine list.
type ListedMachine struct {
	Name    identity.Machine
	Kind    MachineKind
	Address string
	Zone    identity.Zone
	State   MachineState
}

// Machines is the lagging list of machines.
type Machines interface {
	List(ctx context.Context) ([]ListedMachine, error)
}

// Weights is the rate-limited weight store; engines load from it, the
// supervisor asks only how much may be loaded now.
type Weights interface {
	// Size gives the bytes of a model's version, or ErrNotFound.
	Size(ctx context.Context, model, version string) (int64, error)
}

// Package engine supervises model engines. Each engine has one supervising daemon, chosen by
// rendezvous hashing, which sends its orders with a fencing token that only grows. The
// supervisor polls the engine's load, brings the engine to the declared model and role, and
// releases memory that the engine still holds for ended programs. Supervisors exchange digests
// of their engines' states with the other daemons of the region; every daemon builds the
// scheduler's snapshot from them.
package engine

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Fleet is the interface that request handling uses. *Service implements it.
type Fleet interface {
	// Snapshot returns the current snapshot of the region's engines. It is never nil.
	Snapshot() *scheduling.Snapshot
	// AddPlacement counts a request that was just placed at the engine until the engine's
	// reports include it. The returned function must be called when the attempt ends; elapsed
	// is zero if the request was never sent.
	AddPlacement(engineID string, promptTokens int64) (done func(failed bool, elapsed time.Duration))
	// ReleasePrograms reports programs that ended. The named engines are asked to release the
	// programs' memory until they confirm it.
	ReleasePrograms(programs []identity.Program, engines []string)
	// HoldPrefix asks the engine to retain the program's prefix for the duration of the lease.
	// It does not wait, and the request may be lost.
	HoldPrefix(engineID string, program identity.Program, lease time.Duration)
}

// SnapshotNotifier signals new snapshots. *Service implements it.
type SnapshotNotifier interface {
	// Changed returns a channel that receives a value after a new snapshot is stored. Several
	// changes may be merged into one value.
	Changed() <-chan struct{}
}

// Digest is a summary of one engine's state that its supervisor sends to the daemons of the
// region.
type Digest struct {
	Engine        string
	Fence         uint64 // fencing token with which the supervisor claimed the engine
	Sequence      uint64 // grows with each report of the same supervisor
	Model         string
	Version       string
	Adapters      []string
	Running       int     // sequences being generated
	Waiting       int     // queued sequences
	WaitingTokens int64   // prompt tokens of the queued sequences
	CacheUsed     int64   // tokens in the prefix cache
	CacheTokens   int64   // capacity of the prefix cache in tokens
	PrefillPerSec float64 // prompt tokens per second
	DecodePerSec  float64 // generated tokens per second and sequence
	MaxRunning    int     // maximum number of sequences that run at once
	Serving       bool    // the role is RoleServe and no order is being executed
	Role          string  // one of the Role constants
	Loading       bool    // the engine is executing an order
}

// Package shards stores the logs of program shards in the transactional store and decides which
// daemon leads which shard.
//
// Each shard has a head row with its leader, the leader's term and the index of the last batch
// of its log. Every batch is committed together with a new head row, on condition that the
// previous head row is unchanged. Therefore the log has a single order, a leader that was
// replaced without noticing cannot commit, and committed commands survive the loss of all
// daemons.
package shards

import (
	"context"
	"errors"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Term numbers the leaderships of a shard. It only grows.
type Term uint64

// StateMachine is the state to which the commands of a shard's log are applied. Its methods are
// called by one goroutine at a time, in the order of the log.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which is passed to the proposer
	// only. An error of the command itself is part of the result. index is the index of the log
	// batch that contains the command.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot encoded.
	Restore(snapshot []byte) error
}

// Errors of Propose, ConfirmLeadership and HandOver. Returned errors wrap them.
var (
	// ErrNotLeader means that this daemon does not lead the shard. A command passed to the call
	// will not be committed by it.
	ErrNotLeader = errors.New("not the leader of the shard")
	// ErrUncertain means that the leadership was lost or the deadline passed while the command
	// was being committed, so that it may or may not be committed.
	ErrUncertain = errors.New("commitment uncertain")
	// ErrTooLarge means that the command does not fit one commit of the store. It is not
	// committed.
	ErrTooLarge = errors.New("the command is too large for one commit")
)

// LeaderChange reports that this daemon began or ceased to lead a shard.
type LeaderChange struct {
	Shard   identity.Shard
	Term    Term
	Leading bool
}

// Status is the state of one shard as known to this daemon.
type Status struct {
	Shard          identity.Shard
	Leader         identity.Process // zero: unknown, or nobody leads the shard
	Term           Term
	Leading        bool   // this daemon leads the shard
	CommittedIndex uint64 // index of the last committed log batch; 0 unless this daemon leads the shard
}

// Map lists the leaders of all shards. It must not be changed.
type Map struct {
	ShardCount uint32 // number of program shards; they are numbered from 1, and the number is fixed at the first start
	Leaders    map[identity.Shard]Leader
}

// Leader describes the leadership of a shard.
type Leader struct {
	Process identity.Process // zero: nobody leads the shard
	Term    Term
	// PreviousLeader is the process that gave up the shard in a planned hand-over. It is zero
	// while the shard has a leader.
	PreviousLeader identity.Process
}

// MapSource provides the current map of shards.
type MapSource interface {
	// Current returns the latest known map, or nil if none is known yet.
	Current() *Map
}

// Groups is the interface of the shards for the other parts of a daemon. *Node implements it.
type Groups interface {
	// Propose commits the command to the shard's log and returns the result of Apply. Only the
	// leader can propose. The error wraps ErrNotLeader, ErrUncertain or ErrTooLarge.
	Propose(ctx context.Context, shard identity.Shard, command []byte) (any, error)
	// Leader returns the last known leader, or false if none is known. While this daemon does
	// not lead the shard, it never returns true for this daemon.
	Leader(shard identity.Shard) (identity.Process, bool)
	// ConfirmLeadership returns nil if this daemon led the shard at some moment after the call
	// began, as a linearizable read requires.
	ConfirmLeadership(ctx context.Context, shard identity.Shard) error
	// HandOver gives up the leadership of the shard, for a planned stop or to balance the
	// number of shards per daemon. It returns ErrNotLeader if this daemon does not lead the
	// shard.
	HandOver(ctx context.Context, shard identity.Shard) error
	// Status returns the status of every shard, or nil if the number of shards is not known
	// yet.
	Status() []Status
	// Changes returns a channel with the changes of this daemon's leaderships, in order. Its
	// buffer is limited, so it must be read continuously.
	Changes() <-chan LeaderChange
}

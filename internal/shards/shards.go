// Package shards keeps the logs of program shards in the transactional store
// and decides which daemon leads which shard.
//
// Each shard has a head row that names its leader, the leader's term and the
// index of the last batch of its log. Every batch is committed together with
// the next head, on condition of the former one. So the log has one order, a
// leader that was replaced without its knowing commits nothing any more, and
// what was committed outlasts the loss of all daemons.
package shards

import (
	"context"
	"errors"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Term counts the leaderships of a shard; it only grows.
type Term uint64

// StateMachine is what the commands of a shard's log are applied to. All
// methods are called by one goroutine at a time, in the order of the log.
type StateMachine interface {
	// Apply runs one committed command and returns its result, which only the
	// proposer sees. Errors of the domain are part of the result.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one.
	Restore(snapshot []byte) error
}

// Errors of a proposal.
var (
	// ErrNotLeader means that the command was not taken: it will not commit through this call.
	ErrNotLeader = errors.New("not the leader of the shard")
	// ErrUncertain means that leadership or the deadline was lost after the
	// command was taken: it may or may not commit.
	ErrUncertain = errors.New("commitment uncertain")
	// ErrTooLarge means that the command does not fit one commit of the store.
	ErrTooLarge = errors.New("the command is too large for one commit")
)

// LeaderChange tells that this daemon began or ceased to lead a shard.
type LeaderChange struct {
	Shard   identity.Shard
	Term    Term
	Leading bool
}

// Status is what this daemon knows of one shard.
type Status struct {
	Shard     identity.Shard
	Leader    identity.Process // zero: none is known
	Term      Term
	Leading   bool   // this daemon leads it
	Committed uint64 // index of the last batch, if this daemon leads
}

// Map is what is known of all shards; it is never changed.
type Map struct {
	Shards  uint32 // program shards, numbered from 1; fixed at the first start
	Leaders map[identity.Shard]Leader
}

// Leader is who leads a shard.
type Leader struct {
	Process identity.Process // zero: the former leader gave it up
	Term    Term
	// Former gave the shard up as planned; zero while it is led.
	Former identity.Process
}

// Source gives the map known at this daemon.
type Source interface {
	// Current returns nil until a map is known.
	Current() *Map
}

// Groups is what the parts of a daemon use; *Node implements it.
type Groups interface {
	// Propose commits the command and returns the result of Apply. Leader only.
	Propose(ctx context.Context, shard identity.Shard, command []byte) (any, error)
	// Leader gives the last known leader, and whether there is one.
	Leader(shard identity.Shard) (identity.Process, bool)
	// ConfirmLeadership returns nil if this daemon still led the shard at some
	// moment after the call began (a read barrier).
	ConfirmLeadership(ctx context.Context, shard identity.Shard) error
	// HandOver gives the leadership of the shard up, for a planned stop.
	HandOver(ctx context.Context, shard identity.Shard) error
	// Status lists all shards.
	Status() []Status
	// Changes delivers this daemon's changes of leadership, in order.
	Changes() <-chan LeaderChange
}

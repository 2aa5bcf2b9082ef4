package shards

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Bounds of one batch: a commit of the store holds 1 MB of base64 text and
// 100 entries, among them the head.
const (
	mostBatchBytes       = 640 << 10
	mostBatchRows        = 90
	mostTogether         = 64 // commands
	queued               = 256
	readPause            = 50 * time.Millisecond
	defaultSnapshotAfter = 1 << 20
	mostLogBatches       = 2048
)

// proposal is one command, or a barrier if it has none.
type proposal struct {
	command []byte
	taken   atomic.Bool // by the loop, or given up by the proposer
	result  chan decision
}

// decision is what became of a proposal.
type decision struct {
	value any
	err   error
}

// replica is this daemon's leadership of one shard.
type replica struct {
	node     *Node
	shard    identity.Shard
	machine  StateMachine
	term     Term
	head     head
	version  state.Version
	logBytes int
	stateLen int
	last     atomic.Uint64

	proposals chan *proposal
	release   chan chan error // a request to hand over
	ended     chan struct{}   // closed when this daemon leads the shard no more
	over      context.Context //nolint:containedctx // ends when another daemon is known to lead
	end       context.CancelFunc
}

// propose hands the command to the loop and waits for its decision.
func (r *replica) propose(ctx context.Context, command []byte) (any, error) {
	made := &proposal{command: command, result: make(chan decision, 1)}
	select {
	case r.proposals <- made:
	case <-r.ended:
		return nil, ErrNotLeader
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotLeader, "the command was not taken: %v", ctx.Err())
	}
	select {
	case decided := <-made.result:
		return decided.value, decided.err
	case <-r.ended:
		return made.afterEnd()
	case <-ctx.Done():
		if made.taken.CompareAndSwap(false, true) {
			return nil, eris.Wrapf(ErrNotLeader, "the command was not taken: %v", ctx.Err())
		}
		return nil, eris.Wrapf(ErrUncertain, "%v", ctx.Err())
	}
}

// afterEnd is for a proposal whose leader ended: a decision may have come before.
func (p *proposal) afterEnd() (any, error) {
	if p.taken.CompareAndSwap(false, true) {
		return nil, ErrNotLeader
	}
	decided := <-p.result // whoever took it decides
	return decided.value, decided.err
}

// run commits proposals until another daemon leads, this one hands over, or
// the context ends.
func (r *replica) run(ctx context.Context) {
	defer r.node.ceased(r)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.over.Done():
			return
		case answer := <-r.release:
			answer <- r.giveUp(ctx)
			return
		case first := <-r.proposals:
			if !r.decide(ctx, r.gather(first)) {
				return
			}
		}
		if r.snapshotIsDue() && !r.snapshot(ctx) {
			return
		}
	}
}

// gather takes what else waits, as far as one commit holds it.
func (r *replica) gather(first *proposal) []*proposal {
	var batch []*proposal
	size := 0
	take := func(next *proposal) {
		if next.taken.CompareAndSwap(false, true) {
			batch = append(batch, next)
			size += len(next.command)
		}
	}
	take(first)
	for len(batch) < mostTogether && size < mostBatchBytes/2 {
		select {
		case next := <-r.proposals:
			take(next)
		default:
			return batch
		}
	}
	return batch
}

// decide commits a batch, applies it and tells the proposers. It returns false
// when this daemon does not lead any more.
func (r *replica) decide(ctx context.Context, batch []*proposal) bool {
	batch = r.refuseOversized(batch)
	if len(batch) == 0 {
		return true
	}
	err := r.commit(ctx, commandsOf(batch))
	if err != nil {
		r.node.log.Info("shards: a batch was not committed.", zap.Uint32("shard", uint32(r.shard)), zap.Int("commands", len(batch)), zap.String("cause", err.Error()))
		for _, each := range batch {
			each.result <- decision{err: err}
		}
		return false
	}
	for _, each := range batch {
		decided := decision{}
		if each.command != nil {
			decided.value = r.machine.Apply(r.head.Last, each.command)
		}
		each.result <- decided
	}
	r.last.Store(r.head.Last)
	return true
}

func commandsOf(batch []*proposal) [][]byte {
	var commands [][]byte
	for _, each := range batch {
		if each.command != nil {
			commands = append(commands, each.command)
		}
	}
	return commands
}

// refuseOversized answers commands that no commit holds.
func (r *replica) refuseOversized(batch []*proposal) []*proposal {
	kept := batch[:0]
	for _, each := range batch {
		if len(each.command) > mostBatchBytes || len(each.command)/r.node.options.RowBytes > mostBatchRows {
			each.result <- decision{err: eris.Wrapf(ErrTooLarge, "%d bytes", len(each.command))}
			continue
		}
		kept = append(kept, each)
	}
	return kept
}

// commit writes the commands as the next batch of the log; without commands
// it only proves that this daemon still leads.
func (r *replica) commit(ctx context.Context, commands [][]byte) error {
	if len(commands) == 0 {
		return r.swap(ctx, r.head, nil)
	}
	next := r.head
	next.Last++
	content := encode(commands)
	puts := piecesOf(r.shard, logName(next.Last), content, r.node.options.RowBytes)
	if err := r.swap(ctx, next, puts); err != nil {
		return err
	}
	r.logBytes += len(content)
	return nil
}

// swap replaces the head, together with other rows, and repeats that until the
// store gives a verdict. A head that is as before is only checked.
func (r *replica) swap(ctx context.Context, next head, puts []state.Put) error {
	version, err := r.node.swap(ctx, r.shard, r.version, r.head, next, puts)
	if err != nil {
		return err
	}
	r.head, r.version = next, version
	r.head.Nonce = next.Nonce
	return nil
}

// giveUp writes that nobody leads the shard.
func (r *replica) giveUp(ctx context.Context) error {
	next := r.head
	next.Leader = identity.Process{}
	row := leaderRow{Term: next.Term, Former: r.node.options.Self}
	return r.swap(ctx, next, []state.Put{{Key: leaderKey(r.shard), Value: encode(row)}})
}

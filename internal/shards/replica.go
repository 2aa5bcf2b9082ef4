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

// The limits of a batch follow from those of the store: a commit holds at most 1 MB of base64
// text and 100 entries, including the head.
const (
	maxBatchBytes        = 640 << 10
	maxBatchRows         = 90
	maxBatchCommands     = 64
	proposalQueueSize    = 256
	readRetryDelay       = 50 * time.Millisecond
	defaultSnapshotAfter = 1 << 20
	maxLogBatches        = 2048
)

// proposal is a proposed command, or a request for a read barrier if command is nil.
type proposal struct {
	command []byte
	claimed atomic.Bool // set when the loop receives the proposal or the proposer gives up, whichever is first
	result  chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	value any
	err   error
}

// replica is this daemon's leadership of one shard. While run is running, only its goroutine
// uses machine, head, version, logBytes and snapshotBytes.
type replica struct {
	node          *Node
	shard         identity.Shard
	machine       StateMachine
	term          Term
	head          head
	version       state.Version
	logBytes      int
	snapshotBytes int
	lastIndex     atomic.Uint64

	proposals        chan *proposal
	handOverRequests chan chan error // the result is sent to the received channel
	ended            chan struct{}   // closed when this daemon no longer leads the shard
	superseded       context.Context //nolint:containedctx // ends when another daemon is known to lead
	markSuperseded   context.CancelFunc
}

// propose passes the command to the loop and waits for its result. A nil command only confirms
// the leadership. The error is ErrNotLeader if the command will not be committed, ErrUncertain
// if it may or may not be committed, and ErrTooLarge if it does not fit one commit.
func (r *replica) propose(ctx context.Context, command []byte) (any, error) {
	pending := &proposal{command: command, result: make(chan outcome, 1)}
	select {
	case r.proposals <- pending:
	case <-r.ended:
		return nil, ErrNotLeader
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotLeader, "the command was not accepted: %v", ctx.Err())
	}
	select {
	case result := <-pending.result:
		return result.value, result.err
	case <-r.ended:
		return pending.resultAfterEnd()
	case <-ctx.Done():
		if pending.claimed.CompareAndSwap(false, true) {
			return nil, eris.Wrapf(ErrNotLeader, "the command was not accepted: %v", ctx.Err())
		}
		return nil, eris.Wrapf(ErrUncertain, "%v", ctx.Err())
	}
}

// resultAfterEnd returns the result of a proposal after the leadership has ended: ErrNotLeader
// if the loop had not received the proposal, else the result that the loop sent.
func (p *proposal) resultAfterEnd() (any, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return nil, ErrNotLeader
	}
	result := <-p.result // the loop received the proposal, so it sends a result
	return result.value, result.err
}

// run commits proposals until another daemon leads the shard, this daemon hands it over, a
// commit fails or the context ends.
func (r *replica) run(ctx context.Context) {
	defer r.node.endReplica(r)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.superseded.Done():
			return
		case answer := <-r.handOverRequests:
			answer <- r.resign(ctx)
			return
		case first := <-r.proposals:
			if !r.commitBatch(ctx, r.collectBatch(first)) {
				return
			}
		}
		if r.needsSnapshot() && !r.writeSnapshot(ctx) {
			return
		}
	}
}

// collectBatch returns the first proposal and others that are already waiting, without those
// whose proposer gave up, so that the batch may be empty. It stops when the batch has
// maxBatchCommands commands or at least half of maxBatchBytes.
func (r *replica) collectBatch(first *proposal) []*proposal {
	var batch []*proposal
	size := 0
	take := func(next *proposal) {
		if next.claimed.CompareAndSwap(false, true) {
			batch = append(batch, next)
			size += len(next.command)
		}
	}
	take(first)
	for len(batch) < maxBatchCommands && size < maxBatchBytes/2 {
		select {
		case next := <-r.proposals:
			take(next)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch, applies it to the state machine and sends the results to the
// proposers. It returns false if this daemon no longer leads the shard or cannot confirm that
// it does.
func (r *replica) commitBatch(ctx context.Context, batch []*proposal) bool {
	batch = r.rejectOversized(batch)
	if len(batch) == 0 {
		return true
	}
	err := r.appendLog(ctx, commandsIn(batch))
	if err != nil {
		r.node.log.Info("shards: committing a batch failed.", zap.Uint32("shard", uint32(r.shard)), zap.Int("commands", len(batch)), zap.String("cause", err.Error()))
		for _, each := range batch {
			each.result <- outcome{err: err}
		}
		return false
	}
	for _, each := range batch {
		result := outcome{}
		if each.command != nil {
			result.value = r.machine.Apply(r.head.Last, each.command)
		}
		each.result <- result
	}
	r.lastIndex.Store(r.head.Last)
	return true
}

func commandsIn(batch []*proposal) [][]byte {
	var commands [][]byte
	for _, each := range batch {
		if each.command != nil {
			commands = append(commands, each.command)
		}
	}
	return commands
}

// rejectOversized sends ErrTooLarge to the proposers of commands that do not fit one commit,
// and returns the other proposals. It reuses the slice.
func (r *replica) rejectOversized(batch []*proposal) []*proposal {
	kept := batch[:0]
	for _, each := range batch {
		if len(each.command) > maxBatchBytes || len(each.command)/r.node.options.MaxRowBytes > maxBatchRows {
			each.result <- outcome{err: eris.Wrapf(ErrTooLarge, "command of %d bytes", len(each.command))}
			continue
		}
		kept = append(kept, each)
	}
	return kept
}

// appendLog commits the commands as the next batch of the log. Without commands it only
// confirms that this daemon still leads the shard.
func (r *replica) appendLog(ctx context.Context, commands [][]byte) error {
	if len(commands) == 0 {
		return r.commitHead(ctx, r.head, nil)
	}
	next := r.head
	next.Last++
	content := encode(commands)
	puts := splitRows(r.shard, logRowName(next.Last), content, r.node.options.MaxRowBytes)
	if err := r.commitHead(ctx, next, puts); err != nil {
		return err
	}
	r.logBytes += len(content)
	return nil
}

// commitHead commits the next head and the puts on condition that the stored head is unchanged,
// and then stores next in r. If next equals the current head and there are no puts, it only
// checks the condition.
func (r *replica) commitHead(ctx context.Context, next head, puts []state.Put) error {
	version, err := r.node.commitHead(ctx, r.shard, r.version, r.head, next, puts)
	if err != nil {
		return err
	}
	r.head, r.version = next, version
	r.head.Nonce = next.Nonce
	return nil
}

// resign gives up the leadership: it commits a head without a leader and names this process as
// the previous leader.
func (r *replica) resign(ctx context.Context) error {
	next := r.head
	next.Leader = identity.Process{}
	row := leaderRow{Term: next.Term, Former: r.node.options.Self}
	return r.commitHead(ctx, next, []state.Put{{Key: leaderKey(r.shard), Value: encode(row)}})
}

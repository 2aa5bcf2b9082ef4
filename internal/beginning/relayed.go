package beginning

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// Relayed is what an attempt has relayed of a stream so far. Extend and End are called by one goroutine.
type Relayed struct {
	exchange *Exchange
	stream   Stream
	keep     time.Duration
	tellers  []*teller
	ended    chan struct{} // closed by End

	mutex  sync.Mutex
	output []byte
	marks  []Mark
}

// startTelling starts to tell the homes of the work. If one fails, another likely one takes its place.
func (r *Relayed) startTelling() {
	likely := r.exchange.list.LikelyHomes(r.stream.Work.Key)
	spare := make(chan members.Member, len(likely))
	for _, member := range likely {
		spare <- member
	}
	var telling sync.WaitGroup
	for range min(replicas, len(likely)) {
		t := &teller{relayed: r, spare: spare, changed: make(chan struct{}, 1)}
		r.tellers = append(r.tellers, t)
		telling.Go(t.run)
	}
	go func() {
		telling.Wait()
		r.exchange.relayed.Add(-1)
	}()
}

// Extend keeps what the attempt has relayed: the whole output and the marks of its events, from the first
// event of the stream. Neither is changed afterwards but by appending to it. Extend does not wait for other
// daemons. It is called before the last bytes of the output are relayed.
func (r *Relayed) Extend(output []byte, marks []Mark) {
	r.mutex.Lock()
	known := len(r.output)
	if len(output) == known {
		r.mutex.Unlock()
		return
	}
	r.output, r.marks = output, marks
	r.mutex.Unlock()
	r.exchange.records.add(r.partFrom(known))
	for _, t := range r.tellers {
		t.wake()
	}
}

// End ends the telling once all daemons were told what was relayed.
func (r *Relayed) End() { close(r.ended) }

// partFrom returns what was relayed after the first known bytes of the output.
func (r *Relayed) partFrom(known int) Part {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known = min(known, len(r.output))
	firstMark := sort.Search(len(r.marks), func(index int) bool { return r.marks[index].End > known })
	return Part{Stream: r.stream, From: known, Output: r.output[known:], Marks: r.marks[firstMark:], Keep: r.keep}
}

// teller tells one other daemon what was relayed.
type teller struct {
	relayed *Relayed
	spare   chan members.Member // daemons that no teller tells
	changed chan struct{}       // holds an element if something was relayed since it was last read

	known int // bytes of the output that the daemon has confirmed
}

func (t *teller) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// run tells a daemon until the stream has ended, and another one if that one fails.
func (t *teller) run() {
	for {
		select {
		case member := <-t.spare:
			t.known = 0
			if t.tell(member) {
				return
			}
			t.wake() // the next daemon knows nothing yet
		default:
			return
		}
	}
}

// tell tells the daemon each time something was relayed. It returns false if the daemon fails, and true
// once the stream has ended or a later attempt is known.
func (t *teller) tell(member members.Member) bool {
	for {
		hasEnded := false
		select {
		case <-t.changed:
		case <-t.relayed.ended:
			hasEnded = true
		}
		isCurrent, err := t.send(member)
		if err != nil {
			t.relayed.exchange.log.Debug("beginning: not told.", zap.String("member", string(member.Process.Machine)), zap.String("cause", err.Error()))
			return false
		}
		if hasEnded || !isCurrent {
			return true
		}
	}
}

// send sends what the daemon has not confirmed, from the start if it has lost what it knew.
func (t *teller) send(member members.Member) (isCurrent bool, err error) {
	const attempts = 2
	for range attempts {
		part := t.relayed.partFrom(t.known)
		end := part.From + len(part.Output)
		if end == t.known {
			return true, nil
		}
		var reply KeepReply
		ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
		err := t.relayed.exchange.peerClient.Call(ctx, member.Process.Address, peer.ClassData, methodKeep, part, &reply)
		cancel()
		if err != nil {
			return false, err
		}
		t.known = reply.Known
		if !reply.IsCurrent || reply.Known >= end {
			return reply.IsCurrent, nil
		}
	}
	return true, nil
}

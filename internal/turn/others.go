package turn

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// ServiceName is the name under which other daemons are asked for turns that
// they keep in memory.
const ServiceName = "Turns"

const methodChain = ServiceName + ".Chain"

// ChainRequest asks for a turn.
type ChainRequest struct{ Identifier string }

// ChainReply holds the conversation up to a turn, if the daemon keeps it in memory.
type ChainReply struct{ Turns []ToldTurn } // the oldest first; empty: it does not

// ToldTurn is a turn on its way between daemons.
type ToldTurn struct {
	Identifier string
	Owner      string
	Engine     string
	Parts      []ToldPart
	Digest     [32]byte // of the conversation up to its end
	Until      int64    // unix seconds: what it lies in may be removed from then on
}

// ToldPart is bytes of a turn.
type ToldPart struct {
	Bytes  []byte
	Shared bool // with other conversations
}

// Service answers other daemons.
type Service struct{ records *Records }

// NewService makes the answering side.
func NewService(records *Records) *Service { return &Service{records: records} }

// mostTold bounds the bytes of an answer: a quarter of what one message between daemons
// may hold, and less than the store takes to send as much.
const mostTold = 1 << 20

// Chain is called by other daemons. What is in memory was acknowledged by the
// store, so it is as true as a reading.
func (s *Service) Chain(request ChainRequest, reply *ChainReply) error {
	known := s.records.cache.peek(request.Identifier)
	if known == nil || known.length > mostTold {
		return nil
	}
	for _, each := range known.chain() {
		told := ToldTurn{Identifier: each.identifier, Owner: each.owner, Engine: each.engine, Digest: each.digest, Until: each.until}
		for _, part := range each.added {
			told.Parts = append(told.Parts, ToldPart{Bytes: part.bytes, Shared: part.shared})
		}
		reply.Turns = append(reply.Turns, told)
	}
	return nil
}

// restore makes a turn of what another daemon told; nil: it has not the turn.
func (r *Records) restore(identifier string, reply ChainReply) (*Turn, error) {
	var made *Turn
	for _, told := range reply.Turns {
		next := &Turn{identifier: told.Identifier, owner: told.Owner, engine: told.Engine, previous: made, until: told.Until}
		for _, part := range told.Parts {
			bytes := part.Bytes
			if part.Shared {
				bytes = r.pieces.Share(bytes)
			}
			next.added = append(next.added, segment{bytes: bytes, shared: part.Shared})
		}
		if next.complete().digest != told.Digest {
			return nil, &BrokenError{Turn: identifier, At: told.Identifier, Cause: ErrChanged}
		}
		made = next
		if known := r.cache.peek(told.Identifier); known != nil && known.digest == next.digest {
			made = known // shared in memory
		}
	}
	if made != nil && made.identifier != identifier {
		return nil, &BrokenError{Turn: identifier, At: made.identifier, Cause: ErrGap}
	}
	return made, nil
}

// Others asks other daemons for turns that they keep in memory. It is safe for
// concurrent use.
type Others struct {
	List   *members.List
	Caller peer.Caller
	Log    *zap.Logger

	mutex  sync.Mutex
	silent map[string]time.Time // until when a daemon that did not answer is not asked by name
}

const (
	// mostAsked bounds how many daemons are asked at once.
	mostAsked = 24
	askWait   = 150 * time.Millisecond
	// askOneWait is several times what a daemon in reach takes to tell a turn; the
	// store is read after it.
	askOneWait = 100 * time.Millisecond
	// silentFor is how long a daemon that did not answer is passed over: behind a cut, one
	// request a second waits for it, not each.
	silentFor = time.Second
	// mostSilent bounds the daemons that are passed over, at far more than there are.
	mostSilent = 4096
)

// restorer makes a turn of an answer.
type restorer func(identifier string, reply ChainReply) (*Turn, error)

// ask asks one daemon. It returns nil if the daemon has not the turn, or did not answer
// a moment ago.
func (o *Others) ask(ctx context.Context, address, identifier string, restored restorer) (*Turn, error) {
	if address == o.List.Self().Address || o.isSilent(address) {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askOneWait)
	defer cancel()
	var reply ChainReply
	if err := o.Caller.Call(ctx, address, peer.Data, methodChain, ChainRequest{Identifier: identifier}, &reply); err != nil {
		o.noteSilent(address)
		return nil, eris.Wrap(err, "ask for a turn")
	}
	return restored(identifier, reply)
}

func (o *Others) isSilent(address string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return time.Now().Before(o.silent[address])
}

func (o *Others) noteSilent(address string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.silent == nil || len(o.silent) >= mostSilent {
		o.silent = map[string]time.Time{}
	}
	o.silent[address] = time.Now().Add(silentFor)
}

// answer is what came of asking one daemon.
type answer struct {
	reply ChainReply
	err   error
}

// search asks the daemons of this zone, and some of other zones. It returns nil if
// none told the turn in time.
func (o *Others) search(ctx context.Context, identifier string, restored restorer) *Turn {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	asked := o.List.Others(identifier, mostAsked)
	answers := make(chan answer, len(asked))
	for _, member := range asked {
		go func() {
			var received answer
			received.err = o.Caller.Call(ctx, member.Process.Address, peer.Data, methodChain, ChainRequest{Identifier: identifier}, &received.reply)
			answers <- received
		}()
	}
	silent := 0
	var failure error // the last one: most are alike
	for range asked {
		received := <-answers
		told, err := restored(identifier, received.reply)
		if told != nil {
			return told
		}
		if received.err != nil || err != nil {
			silent, failure = silent+1, eris.Wrapf(firstOf(received.err, err), "ask for a turn")
		}
	}
	if failure != nil {
		o.Log.Info("turn: others did not all answer.", zap.String("turn", identifier), zap.Int("asked", len(asked)), zap.Int("silent", silent), zap.String("cause", failure.Error()))
	}
	return nil
}

func firstOf(one, other error) error {
	if one != nil {
		return one
	}
	return other
}

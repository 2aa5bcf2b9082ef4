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

// ServiceName is the name under which a Service must be registered with the RPC server, so that
// other daemons can ask this daemon for turns that it has in memory.
const ServiceName = "Turns"

// methodChain is the RPC method that Service.Chain serves.
const methodChain = ServiceName + ".Chain"

// ChainRequest asks for the conversation up to the turn with the given identifier.
type ChainRequest struct{ Identifier string }

// ChainReply holds the turns of a conversation, the oldest first and the requested one last. It
// is empty if the daemon does not have the turn in memory.
type ChainReply struct{ Turns []ChainTurn }

// ChainTurn is a turn in a ChainReply.
type ChainTurn struct {
	Identifier string
	Owner      string
	Engine     string
	Parts      []ChainPart
	Digest     [32]byte // SHA-256 digest of the conversation up to the turn's end
	Until      int64    // Unix time in seconds after which a row or piece of the conversation may be removed
}

// ChainPart is a part of the bytes that a turn adds.
type ChainPart struct {
	Bytes  []byte
	Shared bool // whether the bytes are a piece that other conversations share
}

// Service is the RPC service that returns turns in memory to other daemons.
type Service struct{ repository *Repository }

// NewService returns the RPC service for the turns that repository has in memory.
func NewService(repository *Repository) *Service { return &Service{repository: repository} }

// maxReplyBytes is the maximum size of a conversation in a reply. It is a quarter of the size limit
// of messages between daemons. Sending a reply of this size takes less time than reading the
// conversation from the store.
const maxReplyBytes = 1 << 20

// Chain sets reply to the conversation up to the requested turn. The reply stays empty if the turn
// is not in memory or the conversation is longer than maxReplyBytes. A cached turn is as
// reliable as one read from the store, since only turns that the store acknowledged are cached.
func (s *Service) Chain(request ChainRequest, reply *ChainReply) error {
	known := s.repository.cache.peek(request.Identifier)
	if known == nil || known.length > maxReplyBytes {
		return nil
	}
	for _, each := range known.chain() {
		sent := ChainTurn{Identifier: each.identifier, Owner: each.owner, Engine: each.engine, Digest: each.digest, Until: each.expiry}
		for _, seg := range each.added {
			sent.Parts = append(sent.Parts, ChainPart{Bytes: seg.bytes, Shared: seg.shared})
		}
		reply.Turns = append(reply.Turns, sent)
	}
	return nil
}

// restore builds the turn with the given identifier from another daemon's reply. It reuses cached
// turns and pieces with the same content. It returns nil if the reply is empty, and a
// *BrokenError if the reply does not match its digests or ends with another turn.
func (r *Repository) restore(identifier string, reply ChainReply) (*Turn, error) {
	var restored *Turn
	for _, received := range reply.Turns {
		next := &Turn{identifier: received.Identifier, owner: received.Owner, engine: received.Engine, previous: restored, expiry: received.Until}
		for _, part := range received.Parts {
			bytes := part.Bytes
			if part.Shared {
				bytes = r.pieces.Intern(bytes)
			}
			next.added = append(next.added, segment{bytes: bytes, shared: part.Shared})
		}
		if next.complete().digest != received.Digest {
			return nil, &BrokenError{Turn: identifier, FaultyTurn: received.Identifier, Cause: ErrDigestMismatch}
		}
		restored = next
		if known := r.cache.peek(received.Identifier); known != nil && known.digest == next.digest {
			restored = known // uses the turn that is already in memory
		}
	}
	if restored != nil && restored.identifier != identifier {
		return nil, &BrokenError{Turn: identifier, FaultyTurn: restored.identifier, Cause: ErrMissingAncestor}
	}
	return restored, nil
}

// Peers asks other daemons for turns that they have in memory. It is safe for concurrent use.
// The exported fields are required and must not be changed after the first use.
type Peers struct {
	List       *members.List // the known daemons
	PeerClient peer.Client   // makes the calls
	Log        *zap.Logger

	mutex        sync.Mutex
	skippedUntil map[string]time.Time // time until which ask skips a daemon, by the daemon's address
}

const (
	// maxAskedDaemons is the largest number of daemons that a search asks at once.
	maxAskedDaemons = 24
	// searchTimeout bounds the wait for the answers of a search.
	searchTimeout = 150 * time.Millisecond
	// askTimeout bounds the wait of ask for one daemon's answer. After it the store is read. A
	// daemon that can be reached answers several times faster.
	askTimeout = 100 * time.Millisecond
	// skipSilentFor is how long ask skips a daemon that did not answer, so that during a network
	// failure only about one request a second waits for that daemon.
	skipSilentFor = time.Second
	// maxSilentDaemons is the maximum size of skippedUntil, which is cleared when it is full. The
	// limit is far larger than the number of daemons.
	maxSilentDaemons = 4096
)

// restoreFunc builds the turn with the given identifier from a reply; see Repository.restore.
type restoreFunc func(identifier string, reply ChainReply) (*Turn, error)

// ask asks the daemon at the address for a turn. It returns nil and no error if that daemon does
// not have the turn, is this daemon, or is skipped because it recently did not answer.
func (p *Peers) ask(ctx context.Context, address, identifier string, restore restoreFunc) (*Turn, error) {
	if address == p.List.Self().Address || p.isSilent(address) {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply ChainReply
	if err := p.PeerClient.Call(ctx, address, peer.ClassData, methodChain, ChainRequest{Identifier: identifier}, &reply); err != nil {
		p.noteSilent(address)
		return nil, eris.Wrap(err, "ask for a turn")
	}
	return restore(identifier, reply)
}

// isSilent reports whether ask must skip the daemon because it recently did not answer.
func (p *Peers) isSilent(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Now().Before(p.skippedUntil[address])
}

// noteSilent notes that the daemon did not answer just now.
func (p *Peers) noteSilent(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.skippedUntil == nil || len(p.skippedUntil) >= maxSilentDaemons {
		p.skippedUntil = map[string]time.Time{}
	}
	p.skippedUntil[address] = time.Now().Add(skipSilentFor)
}

// answer is the result of a call to one daemon.
type answer struct {
	reply ChainReply
	err   error
}

// search asks up to maxAskedDaemons daemons for a turn at the same time, and prefers daemons of
// this zone. It returns the first turn received, or nil if none is received within
// searchTimeout.
func (p *Peers) search(ctx context.Context, identifier string, restore restoreFunc) *Turn {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	asked := p.List.OtherMembers(identifier, maxAskedDaemons)
	answers := make(chan answer, len(asked))
	for _, member := range asked {
		go func() {
			var received answer
			received.err = p.PeerClient.Call(ctx, member.Process.Address, peer.ClassData, methodChain, ChainRequest{Identifier: identifier}, &received.reply)
			answers <- received
		}()
	}
	failed := 0
	var failure error // only the last one is logged, since most are alike
	for range asked {
		received := <-answers
		found, err := restore(identifier, received.reply)
		if found != nil {
			return found
		}
		if received.err != nil || err != nil {
			failed, failure = failed+1, eris.Wrapf(firstError(received.err, err), "ask for a turn")
		}
	}
	if failure != nil {
		p.Log.Info("turn: no daemon returned it, and some calls failed.", zap.String("turn", identifier), zap.Int("asked", len(asked)), zap.Int("silent", failed), zap.String("cause", failure.Error()))
	}
	return nil
}

// firstError returns first, or second if first is nil.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

package beginning

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

const (
	// keepTimeout bounds one call that tells a part.
	keepTimeout = 500 * time.Millisecond
	// findTimeout bounds a search. A daemon that can be reached answers several times faster.
	findTimeout = 150 * time.Millisecond
	// replicas is the number of other daemons that are told of a stream.
	replicas = 3
	// maxRelayed is the maximum number of streams of which other daemons are told at a time. Beyond it a
	// beginning stays at this daemon alone, so that daemons that do not answer cannot use up the memory.
	maxRelayed = 512
)

// Exchange keeps beginnings at this daemon and at the homes of the work, and finds them there. It is safe
// for concurrent use.
type Exchange struct {
	records    *Records
	list       *members.List
	peerClient peer.Client
	log        *zap.Logger
	metrics    metrics
	relayed    atomic.Int64 // streams of which other daemons are told
}

// NewExchange returns an exchange between this daemon's records and those of the members.
func NewExchange(records *Records, list *members.List, peerClient peer.Client, log *zap.Logger) *Exchange {
	return &Exchange{records: records, list: list, peerClient: peerClient, log: log}
}

// Relay starts to keep what an attempt relays of a stream, which may be continued for the given time. The
// caller must call End of the result.
func (e *Exchange) Relay(stream Stream, keep time.Duration) *Relayed {
	r := &Relayed{exchange: e, stream: stream, keep: keep, ended: make(chan struct{})}
	if e.relayed.Add(1) > maxRelayed {
		e.relayed.Add(-1)
		e.metrics.countStream(resultDropped)
		return r
	}
	e.metrics.countStream(resultTold)
	r.startTelling()
	return r
}

// Find returns the beginning that the query asks for, or false if it is not known completely. It looks at
// this daemon first, and then asks the daemons that may have been told, all at the same time.
func (e *Exchange) Find(ctx context.Context, query Query) (Found, bool) {
	if found, isKnown := e.records.find(query); isKnown {
		e.metrics.countSearch(resultHere)
		return found, true
	}
	found, isKnown := e.ask(ctx, query)
	if !isKnown {
		e.metrics.countSearch(resultUnknown)
		return Found{}, false
	}
	e.metrics.countSearch(resultAtOther)
	return found, true
}

// ask asks the daemons that are likely to know the beginning, and returns the first one received.
func (e *Exchange) ask(ctx context.Context, query Query) (Found, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	reply, isKnown := peer.AskAll(ctx, e.peerClient, members.AddressesOf(e.list.LikelyHomes(query.Work.Key)), peer.ClassData, methodFind, query,
		func(reply FindReply) bool { return reply.IsKnown },
		func(address string, err error) {
			e.log.Debug("beginning: not asked.", zap.String("address", address), zap.String("cause", err.Error()))
		})
	return reply.Found, isKnown
}

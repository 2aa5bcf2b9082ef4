package origin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

const (
	// keepTimeout bounds one call that tells a record.
	keepTimeout = 500 * time.Millisecond
	// findTimeout bounds a search. A daemon that can be reached answers several times faster.
	findTimeout = 150 * time.Millisecond
	// maxReplicas is the number of other daemons that are told: the homes, and a further daemon in place
	// of this one if it is a home itself.
	maxReplicas = 3
	// minReplicas is the number of other daemons that must confirm a record. If fewer do, further ones
	// are told.
	minReplicas = 2
	// maxTelling is the maximum number of records that are being told. Beyond it a record stays at
	// this daemon alone, so that daemons that do not answer cannot use up the memory.
	maxTelling = 512
)

// Exchange records origins at this daemon and at the homes of the streams, and finds them there. It is
// safe for concurrent use.
type Exchange struct {
	records    *Records
	list       *members.List
	peerClient peer.Client
	log        *zap.Logger
	metrics    metrics
	telling    atomic.Int64
}

// NewExchange returns an exchange between this daemon's records and those of the members.
func NewExchange(records *Records, list *members.List, peerClient peer.Client, log *zap.Logger) *Exchange {
	return &Exchange{records: records, list: list, peerClient: peerClient, log: log}
}

// Record records the origin of a stream, which may be continued for the given time. It does not wait
// for other daemons.
func (e *Exchange) Record(stream Stream, origin Origin, keep time.Duration) {
	record := Record{Stream: stream, Origin: origin, Keep: keep}
	e.records.add(record)
	if e.telling.Add(1) > maxTelling {
		e.telling.Add(-1)
		e.metrics.countTold(resultDropped)
		return
	}
	go func() {
		defer e.telling.Add(-1)
		e.tell(record)
	}()
}

// tell sends the record to maxReplicas daemons, and to further ones if fewer than minReplicas confirm
// it.
func (e *Exchange) tell(record Record) {
	likely := e.likelyMembers(record.Stream)
	first := likely[:min(len(likely), maxReplicas)]
	confirmed := e.sendAll(first, record)
	if further := likely[len(first):]; confirmed < minReplicas {
		confirmed += e.sendAll(further[:min(len(further), minReplicas)], record)
	}
	if confirmed == 0 {
		e.metrics.countTold(resultUnconfirmed)
		return
	}
	e.metrics.countTold(resultConfirmed)
}

// likelyMembers returns the members, except this daemon, at which Find looks for the stream: first its
// homes in this daemon's region, then those in each other region and in each zone.
func (e *Exchange) likelyMembers(stream Stream) []members.Member {
	return e.list.LikelyHomes(stream.key())
}

// sendAll sends the record to all targets at the same time, and returns how many confirmed it.
func (e *Exchange) sendAll(targets []members.Member, record Record) int {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	var sending sync.WaitGroup
	var confirmed atomic.Int64
	for _, target := range targets {
		sending.Go(func() {
			if err := e.peerClient.Call(ctx, target.Process.Address, peer.ClassControl, methodKeep, record, &KeepReply{}); err != nil {
				e.log.Debug("origin: not told.", zap.String("member", string(target.Process.Machine)), zap.String("cause", err.Error()))
				return
			}
			confirmed.Add(1)
		})
	}
	sending.Wait()
	return int(confirmed.Load())
}

// Find returns the origin of a stream, or false if it is not known. It looks at this daemon first, and
// then asks the daemons that may have been told, all at the same time.
func (e *Exchange) Find(ctx context.Context, stream Stream) (Origin, bool) {
	if record, found := e.records.find(stream); found {
		e.metrics.countFound(resultHere)
		return record.Origin, true
	}
	record, found := e.ask(ctx, stream)
	if !found {
		e.metrics.countFound(resultUnknown)
		return Origin{}, false
	}
	e.metrics.countFound(resultAtOther)
	e.records.add(record)
	return record.Origin, true
}

// ask asks the daemons that are likely to have the record, and returns the first one received.
func (e *Exchange) ask(ctx context.Context, stream Stream) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	reply, isKnown := peer.AskAll(ctx, e.peerClient, members.AddressesOf(e.likelyMembers(stream)), peer.ClassControl, methodFind, FindRequest{Stream: stream},
		func(reply FindReply) bool { return reply.IsKnown },
		func(address string, err error) {
			e.log.Debug("origin: not asked.", zap.String("address", address), zap.String("cause", err.Error()))
		})
	return reply.Record, isKnown
}

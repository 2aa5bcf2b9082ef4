package turn

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// ServiceName is the name under which other daemons are asked for turns that
// they keep in memory.
const ServiceName = "Turns"

const methodRecent = ServiceName + ".Recent"

// RecentRequest asks for a turn.
type RecentRequest struct{ Identifier string }

// RecentReply holds the turn if the daemon keeps it in memory.
type RecentReply struct {
	Found  bool
	Record Record
}

// Service answers other daemons.
type Service struct{ records *Records }

// NewService makes the answering side.
func NewService(records *Records) *Service { return &Service{records: records} }

// Recent is called by other daemons. What is in memory was acknowledged by the
// store, so it is as true as a reading.
func (s *Service) Recent(request RecentRequest, reply *RecentReply) error {
	reply.Record, reply.Found = s.records.cache.Peek(request.Identifier)
	return nil
}

// Others asks the daemons of this zone, and some of other zones, for turns
// that the store does not give.
type Others struct {
	List   *members.List
	Caller peer.Caller
	Log    *zap.Logger
}

const (
	// mostAsked bounds how many daemons are asked at once.
	mostAsked = 24
	askWait   = 150 * time.Millisecond
)

// answer is what came of asking one daemon.
type answer struct {
	reply RecentReply
	err   error
}

// Recent returns a turn that another daemon keeps in memory.
func (o *Others) Recent(ctx context.Context, identifier string) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	asked := o.List.Others(identifier, mostAsked)
	answers := make(chan answer, len(asked))
	for _, member := range asked {
		go func() {
			var received answer
			received.err = o.Caller.Call(ctx, member.Process.Address, peer.Data, methodRecent, RecentRequest{Identifier: identifier}, &received.reply)
			answers <- received
		}()
	}
	silent := 0
	var failure error // the last one: most are alike
	for range asked {
		received := <-answers
		if received.err == nil && received.reply.Found {
			return received.reply.Record, true
		}
		if received.err != nil {
			silent, failure = silent+1, received.err
		}
	}
	if failure != nil {
		o.Log.Info("turn: others did not all answer.", zap.String("turn", identifier), zap.Int("asked", len(asked)), zap.Int("silent", silent), zap.String("cause", failure.Error()))
	}
	return Record{}, false
}

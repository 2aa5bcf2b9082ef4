package turn

import (
	"context"
	"time"

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
}

const (
	// mostAsked bounds how many daemons are asked at once.
	mostAsked = 24
	askWait   = 150 * time.Millisecond
)

// Recent returns a turn that another daemon keeps in memory.
func (o *Others) Recent(ctx context.Context, identifier string) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	asked := o.List.Others(identifier, mostAsked)
	answers := make(chan RecentReply, len(asked))
	for _, member := range asked {
		go func() {
			var reply RecentReply
			_ = o.Caller.Call(ctx, member.Process.Address, peer.Data, methodRecent, RecentRequest{Identifier: identifier}, &reply)
			answers <- reply // empty if there was no answer
		}()
	}
	for range asked {
		if reply := <-answers; reply.Found {
			return reply.Record, true
		}
	}
	return Record{}, false
}

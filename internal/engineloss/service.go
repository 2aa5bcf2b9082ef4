package engineloss

import "time"

// ServiceName is the name under which a Service must be registered with the RPC server.
const ServiceName = "EngineLosses"

// Names of the RPC methods.
const (
	methodBegin  = ServiceName + ".Begin"
	methodUpdate = ServiceName + ".Update"
	methodTake   = ServiceName + ".Take"
)

// BeginRequest tells that an attempt is about to be sent to an engine.
type BeginRequest struct {
	Work    Digest
	Key     string // see Work.Key; empty: the daemon that asks is of a build that does not tell it
	Attempt string
	Hold    time.Duration // the attempt has ended after this time
}

// BeginReply is what the daemon knows about the work.
type BeginReply struct {
	Standing Standing
	// Age is how long the daemon has kept records of the work's key. It is retention or more if none can be
	// missing.
	Age time.Duration
}

// Update tells what became of an attempt.
type Update struct {
	Work     Digest
	Key      string   // see Work.Key; empty: the daemon that tells is of a build that does not know it
	Attempt  string   // no longer under way
	Ended    []string // engines that ended while they ran the attempt
	Missing  []string // engines that may have ended while they ran the attempt
	Living   []string // engines that were missing and have not ended
	Forgiven []string // engines whose end the work has not caused
}

// UpdateReply holds the number of engines that ended under the work, as the daemon knows it.
type UpdateReply struct{ Ended int }

// TakeRequest holds records of a daemon that stops.
type TakeRequest struct{ Updates []Update }

// TakeReply confirms that the records were taken.
type TakeReply struct{}

// Service is the RPC service that keeps records for other daemons.
type Service struct{ exchange *Exchange }

// NewService returns the RPC service for the records of the exchange.
func NewService(exchange *Exchange) *Service { return &Service{exchange: exchange} }

// Begin returns the standing of the work, and registers an attempt at suspect work.
func (s *Service) Begin(request BeginRequest, reply *BeginReply) error {
	*reply = s.exchange.begin(request)
	return nil
}

// Update applies what became of an attempt.
func (s *Service) Update(change Update, reply *UpdateReply) error {
	reply.Ended = s.exchange.records.update(change)
	return nil
}

// Take applies the records of a daemon that stops.
func (s *Service) Take(request TakeRequest, _ *TakeReply) error {
	for _, change := range request.Updates {
		s.exchange.records.update(change)
	}
	return nil
}

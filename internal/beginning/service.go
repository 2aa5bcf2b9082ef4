package beginning

// ServiceName is the name under which a Service must be registered with the RPC server, so that other
// daemons can tell and ask for beginnings.
const ServiceName = "Beginnings"

// Names of the RPC methods.
const (
	methodKeep = ServiceName + ".Keep"
	methodFind = ServiceName + ".Find"
)

// KeepReply tells what a daemon knows of an attempt after a part was added.
type KeepReply struct {
	Known     int  // bytes of the output
	IsCurrent bool // false if a later attempt at the work is known
}

// FindReply holds the beginning of a stream, if the daemon knows it completely.
type FindReply struct {
	IsKnown bool
	Found   Found
}

// Service is the RPC service that keeps and returns beginnings for other daemons.
type Service struct{ records *Records }

// NewService returns the RPC service for the records.
func NewService(records *Records) *Service { return &Service{records: records} }

// Keep adds a part of another daemon.
func (s *Service) Keep(part Part, reply *KeepReply) error {
	reply.Known, reply.IsCurrent = s.records.add(part)
	return nil
}

// Find returns the beginning of a stream.
func (s *Service) Find(query Query, reply *FindReply) error {
	reply.Found, reply.IsKnown = s.records.find(query)
	return nil
}

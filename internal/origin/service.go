package origin

// ServiceName is the name under which a Service must be registered with the RPC server, so that other
// daemons can tell and ask for origins.
const ServiceName = "Origins"

// Names of the RPC methods.
const (
	methodKeep = ServiceName + ".Keep"
	methodFind = ServiceName + ".Find"
)

// KeepReply is empty: a reply alone means that the record is kept.
type KeepReply struct{}

// FindRequest asks for the origin of a stream.
type FindRequest struct{ Stream Stream }

// FindReply holds the record of the stream, if the daemon has it.
type FindReply struct {
	IsKnown bool
	Record  Record
}

// Service is the RPC service that keeps and returns origins for other daemons.
type Service struct{ records *Records }

// NewService returns the RPC service for the records.
func NewService(records *Records) *Service { return &Service{records: records} }

// Keep adds a record of another daemon.
func (s *Service) Keep(record Record, _ *KeepReply) error {
	s.records.add(record)
	return nil
}

// Find returns the record of a stream.
func (s *Service) Find(request FindRequest, reply *FindReply) error {
	reply.Record, reply.IsKnown = s.records.find(request.Stream)
	return nil
}

package backend

import "slices"

// SentConnections are the connections on which one request was sent. An instance may answer late and twice,
// and both answers name the request. So the request is not sent a second time on the same connection, where
// the second answer to the first sending would be taken for the answer to the second one. The zero value
// is empty. It is used by one goroutine at a time.
type SentConnections struct{ connections []*connection }

func (s *SentConnections) add(used *connection) {
	if s != nil {
		s.connections = append(s.connections, used)
	}
}

func (s *SentConnections) contains(candidate *connection) bool {
	return s != nil && slices.Contains(s.connections, candidate)
}

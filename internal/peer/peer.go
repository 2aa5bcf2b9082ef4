// Package peer sends and serves RPC calls between daemons, with net/rpc over TCP
// or TLS. Every call must have a deadline, and a reply that arrives later is
// discarded. Each traffic class has its own connection, so that a heartbeat
// never waits behind a large message.
package peer

import "context"

// Class is the traffic class of a call. Calls of different classes never share a
// connection.
type Class uint8

// The classes of traffic between two daemons.
const (
	// ClassControl is for small, urgent messages: heartbeats, votes, probes and notifications.
	ClassControl Class = iota
	// ClassLog is for the replication of program logs and of the configuration.
	ClassLog
	// ClassData is for messages that may be large: callers' requests, answers and snapshots.
	ClassData
)

// Client sends calls to other daemons. It is safe for concurrent use.
type Client interface {
	// Call runs the method ("Service.Method") on the peer at address ("host:port")
	// and stores its result in reply, which must be a non-nil pointer. The context
	// must have a deadline. An error names the failed step and the peer; it wraps
	// ErrNotSent if no byte of the request left this process. Call does not write
	// to reply after it has returned.
	Call(ctx context.Context, address string, class Class, method string, arguments, reply any) error
}

// Registrar accepts the services that this daemon offers to other daemons.
type Registrar interface {
	// Register adds a service with the given name, which must not be in use. The
	// service must be a pointer to a value whose methods have the signature that
	// net/rpc requires.
	Register(name string, service any) error
}

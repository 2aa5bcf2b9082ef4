package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/thymeloft/thymeloft/internal/backend"
)

// identityTimeout bounds how long an instance is asked which one it is. An instance whose slots are taken may
// answer later.
const identityTimeout = 100 * time.Millisecond

// probe finds out whether the instance lives: whether its address accepts connections, and whether the
// instance itself answers there, if healthPath is where it can be asked.
func (g *Gateway) probe(ctx context.Context, instance *backend.Instance, healthPath string) backend.Liveness {
	found := instance.CheckLiveness(ctx)
	if found != backend.LivenessListening || healthPath == "" {
		return found
	}
	return g.identify(ctx, instance, healthPath)
}

// identify asks what listens at the address of the instance which instance it is. A supervisor may have
// started another one there already.
func (g *Gateway) identify(ctx context.Context, instance *backend.Instance, healthPath string) backend.Liveness {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	header := http.Header{}
	g.HeaderCodec.SetForwarded(header, Forwarded{Instance: instance.ID, Remaining: identityTimeout})
	reply, err := instance.Exchange(ctx, &backend.OutgoingRequest{
		Method: http.MethodGet, Target: healthPath, Host: instance.Address, Header: header,
		MatchesResponse: func(http.Header) bool { return true },
	})
	if err != nil {
		return backend.LivenessUnidentified
	}
	defer reply.Drain()
	answered := g.HeaderCodec.ParseAnswer(reply.Status, reply.Header)
	if !answered.WrongInstance && (answered.Instance == "" || answered.Instance == instance.ID) {
		return backend.LivenessListening
	}
	g.Fleet.Remove(instance)
	return backend.LivenessEnded
}

// isBrokenByPeer reports whether err means that the connection was not ended by this daemon, as it is when an
// attempt has taken too long.
func isBrokenByPeer(err error) bool { return !errors.Is(err, net.ErrClosed) }

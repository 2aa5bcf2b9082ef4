package ingress

import (
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// errRefused ends a connection whose header was refused. It is an error for which http.Server closes the
// connection without an answer of its own.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request header was refused")}

// refusal is the answer to a request that was not parsed, so that it has not run.
type refusal string

// Values of refusal.
var (
	refusalMemory      = newRefusal("memory")      // it doesn't fit into memory, or gave way to others
	refusalConnections = newRefusal("connections") // the connection is new, and too many are open
	refusalOverload    = newRefusal("overload")    // the process could not work on it in time
)

func newRefusal(reason string) refusal {
	body := fmt.Sprintf(`{"error":%q}`, reason)
	return refusal(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"Retry-After: 1\r\nConnection: close\r\n\r\n%s", len(body), body))
}

// write writes the refusal. The connection is closed in any case, so that errors don't matter.
func (r refusal) write(connection net.Conn) {
	if connection.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = connection.Write([]byte(r))
	}
}

// refusalTimeout bounds the time for a refusal on a connection.
const refusalTimeout = 250 * time.Millisecond

// refuse answers that there is no memory for the header, and returns errRefused.
func (c *Conn) refuse(cause error) error {
	total := c.limiter.group.refusedHeaders.Add(1)
	c.limiter.group.logClosed("ingress: request refused because its header does not fit into memory.", zap.String("listener", c.limiter.name),
		zap.Stringer("client", c.RemoteAddr()), zap.String("cause", cause.Error()), zap.Int64("soFar", total))
	refusalMemory.write(c.Conn)
	return errRefused
}

// refuseEvicted answers a request that gave way to others before its header was parsed, and returns
// errRefused. For another request it returns the error.
func (c *Conn) refuseEvicted(err error) error {
	if !c.isEvicted() {
		return err
	}
	refusalMemory.write(c.Conn)
	return errRefused
}

// refuseWaiting answers a request whose header waited for a bulk slot until its deadline, or until it gave way
// to others, and returns errRefused.
func (c *Conn) refuseWaiting() error {
	if c.isEvicted() {
		return c.refuseEvicted(errRefused)
	}
	refusalOverload.write(c.Conn)
	return errRefused
}

// maxRefusing is the largest number of new connections of a listener that are refused at the same time.
const maxRefusing = 64

// tryRefuse refuses a new connection in the background. It returns false if too many are being refused.
func (l *Limiter) tryRefuse(accepted net.Conn) bool {
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		return false
	}
	total := l.refused.Add(1)
	l.group.logClosed("ingress: new connection refused because too many are open.", zap.String("listener", l.name),
		zap.Int("open", l.options.MaxConnections), zap.Int64("soFar", total))
	if l.options.IsEncrypted {
		l.refusing.Add(-1)
		_ = accepted.Close()
		return true
	}
	go func() {
		defer l.refusing.Add(-1)
		refuseNew(accepted)
	}()
	return true
}

// refuseNew answers the first request of a connection and closes it. It reads on for a while, since closing
// a connection with unread bytes may destroy the answer on its way.
func refuseNew(accepted net.Conn) {
	defer func() { _ = accepted.Close() }()
	if accepted.SetReadDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	buffer := make([]byte, refusalBufferBytes)
	if count, _ := accepted.Read(buffer); count == 0 {
		return // nothing was asked
	}
	refusalConnections.write(accepted)
	closer, ok := accepted.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	for {
		if _, err := accepted.Read(buffer); err != nil {
			return
		}
	}
}

const refusalBufferBytes = 1 << 10

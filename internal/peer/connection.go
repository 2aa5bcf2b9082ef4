package peer

import (
	"context"
	"crypto/tls"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// connection is an outbound connection. It implements rpc.ClientCodec with size
// limits and traffic counters.
type connection struct {
	client      *rpc.Client
	pool        *Pool
	conn        net.Conn
	class       Class
	reader      *messageReader
	decoder     *gob.Decoder
	writer      *messageWriter
	replyMethod string       // method of the reply that is being read
	openCalls   atomic.Int64 // calls whose reply has not arrived
	// lastUse is when the last call started, and lastReply when the last reply
	// arrived, in nanoseconds since Pool.startTime. Both start as the time at which
	// the connection was opened.
	lastUse   atomic.Int64
	lastReply atomic.Int64
	retired   atomic.Bool // if true, new calls use another connection
	// unansweredSince is when the first of the calls started that reached their deadlines without any
	// reply on the connection since, in nanoseconds since Pool.startTime; 0 if there is none.
	unansweredSince atomic.Int64
}

// dial opens a connection to the address and sends the preamble, which contains the
// traffic class.
func (p *Pool) dial(address string, class Class) (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.DialTimeout)
	defer cancel()
	conn, err := p.dialTransport(ctx, address)
	if err != nil {
		return nil, err
	}
	header := append([]byte(preamble), byte(class))
	if err := conn.SetWriteDeadline(time.Now().Add(p.options.DialTimeout)); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "send preamble")
	}
	if _, err := conn.Write(header); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "send preamble")
	}
	return p.newConnection(conn, class), nil
}

func (p *Pool) dialTransport(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: keepAlivePeriod}
	if p.options.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	tlsDialer := tls.Dialer{NetDialer: &dialer, Config: p.options.TLS}
	return tlsDialer.DialContext(ctx, "tcp", address)
}

func (p *Pool) newConnection(conn net.Conn, class Class) *connection {
	reader := newMessageReader(conn, class, p.options.MaxMessageBytes)
	c := &connection{
		pool:    p,
		conn:    conn,
		class:   class,
		reader:  reader,
		decoder: gob.NewDecoder(reader),
		writer:  newMessageWriter(conn, &p.options),
	}
	c.lastUse.Store(p.elapsed())
	c.lastReply.Store(p.elapsed())
	c.client = rpc.NewClientWithCodec(c)
	return c
}

// WriteRequest implements rpc.ClientCodec. Its errors are of type *unsentError.
func (c *connection) WriteRequest(request *rpc.Request, body any) error {
	bytes, err := c.writer.encode(request, body, false)
	if err != nil {
		return &unsentError{cause: err}
	}
	c.openCalls.Add(1)
	c.pool.statistics.countSent(c.class, request.ServiceMethod, bytes)
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *connection) ReadResponseHeader(response *rpc.Response) error {
	c.reader.startMessage()
	if err := c.decoder.Decode(response); err != nil {
		c.failRead(err)
		return err
	}
	c.openCalls.Add(-1)
	c.lastReply.Store(c.pool.elapsed())
	c.unansweredSince.Store(0)
	c.replyMethod = response.ServiceMethod
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *connection) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	if err != nil {
		c.failRead(err)
	}
	c.pool.statistics.countReceived(c.class, c.replyMethod, c.reader.consumed)
	return err
}

// noteUnanswered records that a call reached its deadline without any reply on the connection since its
// start. It returns the start of the first such call since the last reply. Times are in nanoseconds since
// Pool.startTime.
func (c *connection) noteUnanswered(start int64) (first int64) {
	c.unansweredSince.CompareAndSwap(0, start)
	if first = c.unansweredSince.Load(); first > 0 {
		return first
	}
	return start // a reply has arrived just now
}

// failRead closes the connection after a read error.
func (c *connection) failRead(err error) {
	c.retired.Store(true)
	c.writer.fail(err)
}

// Close implements rpc.ClientCodec.
func (c *connection) Close() error {
	c.retired.Store(true)
	c.writer.fail(ErrClosed)
	return nil
}

// hasFailed reports whether the connection can no longer send requests.
func (c *connection) hasFailed() bool {
	c.writer.mutex.Lock()
	defer c.writer.mutex.Unlock()
	return c.writer.failure != nil
}

// isClosable reports whether the connection may be closed. The current time is
// given in nanoseconds since Pool.startTime. A connection without open calls may be
// closed if it is retired or was not used for Options.IdleTimeout. A connection with
// open calls may be closed if no call started and no reply arrived for
// Options.StallTimeout.
func (c *connection) isClosable(now int64) bool {
	if c.openCalls.Load() <= 0 {
		idle := now-c.lastUse.Load() > int64(c.pool.options.IdleTimeout)
		return idle || c.retired.Load()
	}
	silence := now - max(c.lastReply.Load(), c.lastUse.Load())
	return silence > int64(c.pool.options.StallTimeout)
}

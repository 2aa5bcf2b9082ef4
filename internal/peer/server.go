package peer

import (
	"context"
	"crypto/tls"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
)

// preamble is the first thing that a client sends on a new connection. It is
// followed by one byte, the Class.
const preamble = "thymeloft-peer/1"

const (
	keepAlivePeriod  = time.Minute
	acceptRetryDelay = 20 * time.Millisecond
	// unknownServiceName is the name in metrics of services that are not registered.
	unknownServiceName = "unknown"
)

// Server answers calls from other daemons. It implements Registrar and is safe
// for concurrent use.
type Server struct {
	options    Options
	listener   net.Listener
	rpc        *rpc.Server
	services   sync.Map // keys are the names of the registered services
	statistics *statistics
	limiter    *ingress.Limiter // bounds the connections whose preamble has not arrived

	mutex       sync.Mutex
	connections map[*serverCodec]struct{}
	closed      atomic.Bool
	goroutines  sync.WaitGroup // acceptLoop, and serve for each connection
}

// Listen opens a listener at address ("ip:port"; port 0 selects a free port) and
// starts to serve. A call to a service that is not registered yet gets an error
// as its reply.
func Listen(address string, options Options) (*Server, error) {
	options = options.withDefaults()
	configuration := net.ListenConfig{KeepAlive: keepAlivePeriod}
	listener, err := configuration.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers at %s", address)
	}
	statistics, err := newStatistics("server", options.Registerer)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	server := &Server{
		options:     options,
		listener:    listener,
		rpc:         rpc.NewServer(),
		statistics:  statistics,
		limiter:     options.Ingress.NewLimiter(ingress.LimiterOptions{Name: "peers", MaxConnections: options.MaxUnidentified, IsEncrypted: true}),
		connections: map[*serverCodec]struct{}{},
	}
	server.goroutines.Add(1)
	go server.acceptLoop()
	return server, nil
}

// Register implements Registrar.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return eris.Wrapf(err, "register peer service %s", name)
	}
	s.services.Store(name, struct{}{})
	return nil
}

// Address returns the address at which the server listens, as "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stats returns the server's number of open connections and its traffic so far.
func (s *Server) Stats() Stats { return s.statistics.snapshot() }

// Close stops accepting connections and reading requests. It waits up to
// Options.CloseTimeout until running calls have ended and their replies are
// sent, and then closes the remaining connections. Later calls do nothing.
func (s *Server) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	err := s.listener.Close()
	s.forEachConnection((*serverCodec).stopReading)
	ended := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(s.options.CloseTimeout):
		s.options.Logger.Warn("peer: connections aborted, because they did not end within the close timeout.")
		s.forEachConnection((*serverCodec).abort)
	}
	if s.options.Registerer != nil {
		s.options.Registerer.Unregister(s.statistics)
	}
	return eris.Wrap(err, "close peer listener")
}

// forEachConnection calls a function for each open connection while it holds
// s.mutex.
func (s *Server) forEachConnection(action func(*serverCodec)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.connections {
		action(connection)
	}
}

func (s *Server) acceptLoop() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Logger.Warn("peer: accept failed.", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.statistics.connections.Add(1) > int64(s.options.MaxConnections) {
			s.statistics.connections.Add(-1)
			s.options.Logger.Warn("peer: too many connections.", zap.Stringer("peer", conn.RemoteAddr()))
			_ = conn.Close()
			continue
		}
		unidentified := s.limiter.Admit(conn, 0, 0)
		if unidentified == nil {
			s.statistics.connections.Add(-1)
			continue
		}
		s.goroutines.Add(1)
		go s.serve(unidentified)
	}
}

// serve serves a connection. It no longer gives way to others once its preamble has arrived.
func (s *Server) serve(unidentified *ingress.Conn) {
	defer s.goroutines.Done()
	defer s.statistics.connections.Add(-1)
	defer unidentified.Release()
	conn := s.transport(unidentified)
	class, err := s.readPreamble(conn)
	if err != nil {
		s.options.Logger.Info("peer: inbound connection rejected.", zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
		_ = conn.Close()
		return
	}
	unidentified.Release()
	if s.options.TLS == nil {
		conn = unidentified.NetConn()
	}
	codec := newServerCodec(s, conn, class)
	if !s.addConnection(codec) {
		codec.abort()
		return
	}
	s.rpc.ServeCodec(codec)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, codec)
}

// transport returns the connection with TLS, if that is configured.
func (s *Server) transport(conn net.Conn) net.Conn {
	if s.options.TLS == nil {
		return conn
	}
	return tls.Server(conn, s.options.TLS)
}

// addConnection registers the connection for Close. It returns false if the
// server is already closed.
func (s *Server) addConnection(codec *serverCodec) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed.Load() {
		return false
	}
	s.connections[codec] = struct{}{}
	return true
}

// readPreamble reads the preamble within Options.DialTimeout and returns the class
// of the connection. It returns ErrBadPreamble if the preamble is not valid.
func (s *Server) readPreamble(conn net.Conn) (Class, error) {
	if err := conn.SetDeadline(time.Now().Add(s.options.DialTimeout)); err != nil {
		return 0, err
	}
	content := make([]byte, len(preamble)+1)
	if _, err := io.ReadFull(conn, content); err != nil {
		return 0, eris.Wrap(err, "read preamble")
	}
	class := Class(content[len(preamble)])
	if string(content[:len(preamble)]) != preamble || class >= classCount {
		return 0, ErrBadPreamble
	}
	return class, conn.SetDeadline(time.Time{})
}

// serverCodec is an inbound connection. It implements rpc.ServerCodec with size
// limits and traffic counters.
type serverCodec struct {
	server        *Server
	conn          net.Conn
	class         Class
	reader        *messageReader
	decoder       *gob.Decoder
	writer        *messageWriter
	callSlots     chan struct{} // holds one element for each running call
	requestMethod string        // method of the request that is being read, as counted in metrics

	mutex    sync.Mutex
	stopping bool // if true, no further requests are read; guarded by mutex
}

func newServerCodec(server *Server, conn net.Conn, class Class) *serverCodec {
	reader := newMessageReader(conn, class, server.options.MaxMessageBytes)
	return &serverCodec{
		server:    server,
		conn:      conn,
		class:     class,
		reader:    reader,
		decoder:   gob.NewDecoder(reader),
		writer:    newMessageWriter(conn, &server.options),
		callSlots: make(chan struct{}, server.options.MaxCallsPerConnection),
	}
}

// ReadRequestHeader implements rpc.ServerCodec. After reading a header it waits
// until fewer than Options.MaxCallsPerConnection calls are running.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	if err := c.setRequestDeadline(); err != nil {
		return err
	}
	c.reader.startMessage()
	if err := c.decoder.Decode(request); err != nil {
		return err
	}
	c.requestMethod = c.methodForMetrics(request.ServiceMethod)
	select {
	case c.callSlots <- struct{}{}:
		return nil
	case <-c.writer.done:
		return io.EOF
	}
}

// setRequestDeadline sets the read deadline for the next request. It returns
// io.EOF if the server is closing.
func (c *serverCodec) setRequestDeadline() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping {
		return io.EOF
	}
	return c.conn.SetReadDeadline(time.Now().Add(serverIdleFactor * c.server.options.IdleTimeout))
}

// methodForMetrics returns the name of a method if its service is registered, and
// otherwise unknownServiceName, so that clients cannot add arbitrary label values to
// the metrics.
func (c *serverCodec) methodForMetrics(method string) string {
	service, _, _ := strings.Cut(method, ".")
	if _, known := c.server.services.Load(service); known {
		return method
	}
	return unknownServiceName
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.server.statistics.countReceived(c.class, c.requestMethod, c.reader.consumed)
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	<-c.callSlots
	bytes, err := c.writer.encode(response, body, true)
	if err != nil {
		c.server.options.Logger.Debug("peer: reply not sent.",
			zap.String("method", response.ServiceMethod), zap.Stringer("peer", c.conn.RemoteAddr()), zap.Error(err))
		return err
	}
	c.server.statistics.countSent(c.class, c.methodForMetrics(response.ServiceMethod), bytes)
	return nil
}

// Close implements rpc.ServerCodec. net/rpc calls it after the last reply was
// encoded; Close waits until the reply is sent.
func (c *serverCodec) Close() error {
	c.writer.flush()
	c.abort()
	return nil
}

func (c *serverCodec) stopReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping = true
	_ = c.conn.SetReadDeadline(time.Now()) // fails only if the connection is already closed
}

// abort closes the connection without sending pending replies.
func (c *serverCodec) abort() { c.writer.fail(ErrClosed) }

package process

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
)

// keepAlivePeriod is the interval of TCP keep-alives, which detect clients that
// disappeared without closing their connection.
const keepAlivePeriod = 30 * time.Second

// EndpointOptions configures an Endpoint.
type EndpointOptions struct {
	Name    string      // identifies the endpoint in logs and errors
	Address string      // "ip:port"; port 0 selects a free port
	TLS     *tls.Config // nil disables TLS
	Limits  EndpointLimits
	Ingress *ingress.Group // bounds what clients cost; nil: a group of its own without a memory limit
	Log     *zap.Logger    // required
}

// EndpointLimits limits the use of an endpoint. For a zero field the default of
// http.Server applies, except that a zero MaxConnections means no limit.
type EndpointLimits struct {
	HeaderTimeout  time.Duration // time to read the header of a request
	ReadTimeout    time.Duration // time to read a whole request
	WriteTimeout   time.Duration // time to write a response
	IdleTimeout    time.Duration // time for which an idle connection stays open
	MaxHeaderBytes int           // largest size of a request header
	MaxConnections int           // largest number of open connections; for a further one, one that waits for its client is closed
}

// Endpoint is an HTTP server with its listener.
type Endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
	log      *zap.Logger
}

// Listen opens a listener at options.Address. Connections wait until Serve is
// called.
func Listen(options EndpointOptions) (*Endpoint, error) {
	listenConfig := net.ListenConfig{KeepAlive: keepAlivePeriod}
	listener, err := listenConfig.Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s at %s", options.Name, options.Address)
	}
	group := options.Ingress
	if group == nil {
		group = ingress.NewGroup(nil, options.Log)
	}
	if options.Limits.MaxHeaderBytes == 0 {
		options.Limits.MaxHeaderBytes = http.DefaultMaxHeaderBytes
	}
	limiter := group.NewLimiter(ingress.LimiterOptions{Name: options.Name, MaxConnections: options.Limits.MaxConnections, IsEncrypted: options.TLS != nil})
	listener = limiter.Listen(listener, options.Limits.HeaderTimeout, options.Limits.MaxHeaderBytes)
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	return &Endpoint{
		name: options.Name, listener: listener, log: options.Log,
		server: &http.Server{
			ReadHeaderTimeout: options.Limits.HeaderTimeout,
			ReadTimeout:       options.Limits.ReadTimeout,
			WriteTimeout:      options.Limits.WriteTimeout,
			IdleTimeout:       options.Limits.IdleTimeout,
			MaxHeaderBytes:    options.Limits.MaxHeaderBytes,
			ErrorLog:          zap.NewStdLog(options.Log.Named(options.Name)),
			ConnState:         limiter.OnStateChange,
			ConnContext:       ingress.WithConn,
		},
	}, nil
}

// Address returns the address at which the endpoint listens, as "ip:port".
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Serve passes requests to the handler. It returns nil after Shutdown or Close, and
// otherwise the error for which it ended. It must be called only once.
func (e *Endpoint) Serve(handler http.Handler) error {
	e.server.Handler = ingress.TrackInput(handler)
	err := e.server.Serve(e.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve %s", e.name)
}

// Shutdown closes the listener and waits for active requests. If the context ends
// first, Shutdown closes the connections that remain.
func (e *Endpoint) Shutdown(ctx context.Context) {
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Warn("process: active requests aborted at shutdown.", zap.String("endpoint", e.name), zap.Error(err))
		_ = e.server.Close()
	}
}

// Close closes the listener and all connections, also those with active requests.
func (e *Endpoint) Close() {
	_ = e.server.Close()
	_ = e.listener.Close()
}

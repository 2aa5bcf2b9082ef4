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
	"golang.org/x/net/netutil"
)

// keepAlivePeriod finds callers that are gone without a word.
const keepAlivePeriod = 30 * time.Second

// EndpointOptions are the parameters of an Endpoint.
type EndpointOptions struct {
	Name    string // in logs and errors
	Address string // "ip:port"
	TLS     *tls.Config
	Limits  EndpointLimits
	Log     *zap.Logger
}

// EndpointLimits bound what callers of an endpoint may do. Zero is no bound.
type EndpointLimits struct {
	HeaderTimeout time.Duration // to read a request's header
	ReadTimeout   time.Duration // to read a whole request
	IdleTimeout   time.Duration // that an idle connection is kept
	HeaderBytes   int
	Connections   int // at once; more wait in the kernel
}

// Endpoint is one HTTP listener of a process, with its limits.
type Endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
	log      *zap.Logger
}

// Listen opens the address; requests are answered once Serve is called.
func Listen(options EndpointOptions) (*Endpoint, error) {
	configuration := net.ListenConfig{KeepAlive: keepAlivePeriod}
	listener, err := configuration.Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s at %s", options.Name, options.Address)
	}
	if options.Limits.Connections > 0 {
		listener = netutil.LimitListener(listener, options.Limits.Connections)
	}
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	return &Endpoint{
		name: options.Name, listener: listener, log: options.Log,
		server: &http.Server{
			ReadHeaderTimeout: options.Limits.HeaderTimeout,
			ReadTimeout:       options.Limits.ReadTimeout,
			IdleTimeout:       options.Limits.IdleTimeout,
			MaxHeaderBytes:    options.Limits.HeaderBytes,
			ErrorLog:          zap.NewStdLog(options.Log.Named(options.Name)),
		},
	}, nil
}

// Address is where the endpoint listens, "ip:port".
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Serve answers requests until Shutdown or Close.
func (e *Endpoint) Serve(handler http.Handler) error {
	e.server.Handler = handler
	err := e.server.Serve(e.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve %s", e.name)
}

// Shutdown takes no new connections and waits for requests under way.
func (e *Endpoint) Shutdown(ctx context.Context) {
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Warn("process: requests cut off.", zap.String("endpoint", e.name), zap.Error(err))
		_ = e.server.Close()
	}
}

// Close cuts off everything.
func (e *Endpoint) Close() {
	_ = e.server.Close()
	_ = e.listener.Close()
}

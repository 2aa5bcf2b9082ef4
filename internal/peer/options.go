package peer

import (
	"crypto/tls"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
)

// Options configures a Server or a Pool. A limit or timeout that is zero or
// negative is replaced by its default.
type Options struct {
	// TLS is the configuration of TLS for all connections; nil disables TLS.
	TLS *tls.Config
	// DialTimeout limits one dial with its TLS handshake, and the time in which a
	// server must receive the preamble of a new connection.
	DialTimeout time.Duration
	// WriteTimeout limits the time to write one chunk of up to 1 MiB. A connection
	// on which a chunk takes longer is closed.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which a pool closes a connection without calls.
	// A server waits serverIdleFactor times as long for the next request.
	IdleTimeout time.Duration
	// StallTimeout is the time after which a pool closes a connection with open
	// calls if no call started and no reply arrived on it.
	StallTimeout time.Duration
	// CloseTimeout is the longest time that Server.Close waits for running calls.
	CloseTimeout time.Duration
	// BackoffInitial and BackoffMax are the first and the longest delay before a
	// pool repeats a failed dial. Delays grow exponentially, with jitter.
	BackoffInitial time.Duration
	BackoffMax     time.Duration
	// MaxMessageBytes is the largest encoded size of one request or reply.
	MaxMessageBytes int64
	// MaxQueuedBytes limits the encoded bytes that wait to be written to one
	// connection. Above it, a pool rejects calls with ErrCongested, and a server
	// delays its replies.
	MaxQueuedBytes int
	// MaxConnections limits the open connections: inbound for a server, outbound for a pool.
	MaxConnections int
	// MaxUnidentified limits the inbound connections whose preamble has not arrived yet. For a
	// further one, the oldest of them is closed.
	MaxUnidentified int
	// Ingress is the group of the server's connection limiter; nil: one of its own.
	Ingress *ingress.Group
	// MaxCallsPerConnection limits the open calls on one connection. At the limit,
	// a pool rejects calls with ErrCongested, and a server stops reading requests.
	MaxCallsPerConnection int
	// Logger receives log lines; nil disables logging.
	Logger *zap.Logger
	// Registerer receives the metrics; nil disables their registration.
	Registerer prometheus.Registerer
}

// Defaults of Options, and the factor that Options.IdleTimeout describes.
const (
	defaultDialTimeout           = time.Second
	defaultWriteTimeout          = 5 * time.Second
	defaultIdleTimeout           = 10 * time.Minute
	defaultStallTimeout          = 2 * time.Minute
	defaultCloseTimeout          = 5 * time.Second
	defaultBackoffInitial        = 50 * time.Millisecond
	defaultBackoffMax            = 2 * time.Second
	defaultMaxMessageBytes       = 64 << 20
	defaultMaxQueuedBytes        = 16 << 20
	defaultMaxConnections        = 4096
	defaultMaxUnidentified       = 256
	defaultMaxCallsPerConnection = 4096

	serverIdleFactor = 3
)

// withDefaults returns a copy of the options in which missing values are replaced
// by their defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.CloseTimeout, defaultCloseTimeout)
	setDefault(&o.BackoffInitial, defaultBackoffInitial)
	setDefault(&o.BackoffMax, defaultBackoffMax)
	setDefault(&o.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&o.MaxQueuedBytes, defaultMaxQueuedBytes)
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxUnidentified, defaultMaxUnidentified)
	setDefault(&o.MaxCallsPerConnection, defaultMaxCallsPerConnection)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Ingress == nil {
		o.Ingress = ingress.NewGroup(nil, o.Logger)
	}
	o.Logger = o.Logger.Named("peer")
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

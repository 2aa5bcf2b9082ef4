package dispatch

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// ErrLeadershipLost is the cancellation cause that callers of Send use when they
// no longer lead the program's shard. The attempt then continues at the back end,
// so that the next leader can follow it.
var ErrLeadershipLost = errors.New("leadership lost")

// Options are the limits of an HTTP dispatcher. Zero values take the default
// given with each field.
type Options struct {
	MaxConnectionsPerHost int                   // concurrent streams and executions at one back end; 512
	DialTimeout           time.Duration         // limit on establishing a TCP connection; 2 s
	StreamIdleTimeout     time.Duration         // time without data after which a stream is resumed; 20 s
	AttemptTimeout        time.Duration         // limit on an attempt whose order has no deadline; 15 min
	CleanupTimeout        time.Duration         // limit on each lookup of an execution, and on all cleanup after the attempt has ended; 2 s
	MaxLookupTries        int                   // successive lookups without progress before the outcome is unknown; 6
	InitialRetryDelay     time.Duration         // first delay between lookups, jittered; 50 ms
	MaxRetryDelay         time.Duration         // maximum delay between lookups; 2 s
	MaxAnswerBytes        int                   // limit on the content or payload of one answer; 16 MiB
	MaxEventBytes         int                   // limit on one server-sent event; 1 MiB
	Logger                *zap.Logger           // nil: nothing is logged
	Registerer            prometheus.Registerer // nil: metrics are not exposed
}

const (
	defaultMaxConnectionsPerHost = 512
	defaultDialTimeout           = 2 * time.Second
	defaultIdleStream            = 20 * time.Second
	defaultMaxAttempt            = 15 * time.Minute
	defaultCleanupTimeout        = 2 * time.Second
	defaultMaxTries              = 6
	defaultRetryInitial          = 50 * time.Millisecond
	defaultRetryMaximum          = 2 * time.Second
	defaultMaxAnswerBytes        = 16 << 20
	defaultMaxEventBytes         = 1 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxConnectionsPerHost, defaultMaxConnectionsPerHost)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.StreamIdleTimeout, defaultIdleStream)
	setDefault(&o.AttemptTimeout, defaultMaxAttempt)
	setDefault(&o.CleanupTimeout, defaultCleanupTimeout)
	setDefault(&o.MaxLookupTries, defaultMaxTries)
	setDefault(&o.InitialRetryDelay, defaultRetryInitial)
	setDefault(&o.MaxRetryDelay, defaultRetryMaximum)
	setDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&o.MaxEventBytes, defaultMaxEventBytes)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

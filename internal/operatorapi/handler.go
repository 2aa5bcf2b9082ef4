// Package operatorapi serves the operator API (api/operator/v1) over HTTP. It
// checks the operator's key before it reads a request's body, limits the size,
// number and duration of requests, and returns errors with typed details.
package operatorapi

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// Limits are the limits of a handler. A field that is zero or negative takes its
// value from DefaultLimits.
type Limits struct {
	MaxRequestBytes    int           // largest size of a request message, in bytes
	MaxConcurrentCalls int           // largest number of concurrent calls, not counting WatchConfiguration
	MaxWatchStreams    int           // largest number of concurrent WatchConfiguration streams
	CallTimeout        time.Duration // longest duration of a call, except WatchConfiguration
	WatchInterval      time.Duration // time between two checks for a new revision in a WatchConfiguration stream
}

// DefaultLimits are the default values of Limits. They allow requests with a
// configuration of 15,000 tenants.
var DefaultLimits = Limits{
	MaxRequestBytes:    32 << 20,
	MaxConcurrentCalls: 64,
	MaxWatchStreams:    64,
	CallTimeout:        10 * time.Second,
	WatchInterval:      100 * time.Millisecond,
}

// Options configure a handler. The fields from Administrator to Fleet are
// required.
type Options struct {
	Administrator configuration.Administrator
	Programs      execution.Programs
	Directory     members.Directory
	// Revisions returns, for each machine, the configuration revision that its
	// daemon last recorded in the store as in force.
	Revisions func(context.Context) (map[identity.Machine]uint64, error)
	Groups    shards.Groups
	Fleet     engine.Fleet
	// Keys are the SHA-256 hashes of the operators' bearer keys, each as 64 hex
	// digits or as "NAME:" and the digits. If there are none, all calls are
	// rejected.
	Keys   []string
	Limits Limits
	Logger *zap.Logger
	// Registerer registers the metrics. If it is nil, they are not exposed.
	Registerer prometheus.Registerer
	// Draining reports whether the daemon is draining. WatchConfiguration
	// streams then end, so that they do not delay the stop. Nil means never.
	Draining func() bool
}

// NewHandler returns a handler for all paths under
// /operator.v1.OperatorService/. It ignores malformed entries of Options.Keys;
// CheckKeys finds them.
func NewHandler(options Options) http.Handler {
	service := newService(options)
	path, calls := operatorv1connect.NewOperatorServiceHandler(service,
		connect.WithReadMaxBytes(service.limits.MaxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(service.interceptCall)),
	)
	mux := http.NewServeMux()
	mux.Handle(path, calls)
	return &authHandler{keys: parseKeys(options.Keys), callSlots: make(chan struct{}, service.limits.MaxConcurrentCalls), next: mux}
}

// service implements operatorv1connect.OperatorServiceHandler.
type service struct {
	Options
	limits     Limits
	logger     *zap.Logger
	metrics    *metrics
	watchSlots chan struct{} // holds one element for each open stream
}

func newService(options Options) *service {
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	if options.Draining == nil {
		options.Draining = func() bool { return false }
	}
	limits := options.Limits.withDefaults()
	return &service{
		Options:    options,
		limits:     limits,
		logger:     logger.Named("operatorapi"),
		metrics:    newMetrics(options.Registerer),
		watchSlots: make(chan struct{}, limits.MaxWatchStreams),
	}
}

func (l Limits) withDefaults() Limits {
	l.MaxRequestBytes = orDefault(l.MaxRequestBytes, DefaultLimits.MaxRequestBytes)
	l.MaxConcurrentCalls = orDefault(l.MaxConcurrentCalls, DefaultLimits.MaxConcurrentCalls)
	l.MaxWatchStreams = orDefault(l.MaxWatchStreams, DefaultLimits.MaxWatchStreams)
	l.CallTimeout = orDefault(l.CallTimeout, DefaultLimits.CallTimeout)
	l.WatchInterval = orDefault(l.WatchInterval, DefaultLimits.WatchInterval)
	return l
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// interceptCall limits the duration of a unary call to Limits.CallTimeout, or to
// the client's deadline if that is earlier, and records the call's duration in
// the metrics.
func (s *service) interceptCall(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, s.limits.CallTimeout)
		defer cancel()
		started := time.Now()
		response, err := next(ctx, request)
		s.metrics.observeCall(request.Spec(), err, started)
		return response, err
	}
}

// Package operatorapi serves the operators' calls (api/operator/v1) over HTTP.
// It checks the operator's key before it reads a request, bounds size, number
// and time of requests, and turns results into typed errors.
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

// Limits bound what operators may ask for; zero fields take the default.
type Limits struct {
	MaxRequestBytes int           // of one request
	MaxConcurrent   int           // calls under way, besides watchers
	MaxWatchers     int           // open WatchConfiguration streams
	CallTimeout     time.Duration // of one call, besides watchers
	WatchInterval   time.Duration // between two looks at the revision in force
}

// DefaultLimits hold a whole configuration of 15,000 tenants in one request.
var DefaultLimits = Limits{
	MaxRequestBytes: 32 << 20,
	MaxConcurrent:   64,
	MaxWatchers:     64,
	CallTimeout:     10 * time.Second,
	WatchInterval:   100 * time.Millisecond,
}

// Options are what the handler works on; all up to Keys are needed.
type Options struct {
	Administrator configuration.Administrator
	Programs      execution.Programs
	Directory     members.Directory
	// Revisions reads which configuration each daemon last said to be in force.
	Revisions func(context.Context) (map[identity.Machine]uint64, error)
	Groups    shards.Groups
	Fleet     engine.Fleet
	// Keys are the operators' bearer keys, each as 64 hex digits of its
	// SHA-256 or as "name:" and the digits. An empty list refuses all calls.
	Keys   []string
	Limits Limits
	Logger *zap.Logger
	// Registerer takes the metrics; nil: they are not shown.
	Registerer prometheus.Registerer
	// Draining says that the daemon stops as planned: watchers are sent away,
	// so that they do not hold up the stop. nil: never.
	Draining func() bool
}

// NewHandler returns the handler of all paths under /operator.v1.OperatorService/.
// A malformed key in Options.Keys never matches; see CheckKeys.
func NewHandler(options Options) http.Handler {
	service := newService(options)
	path, calls := operatorv1connect.NewOperatorServiceHandler(service,
		connect.WithReadMaxBytes(service.limits.MaxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(service.bounded)),
	)
	mux := http.NewServeMux()
	mux.Handle(path, calls)
	return &gate{keys: parseKeys(options.Keys), slots: make(chan struct{}, service.limits.MaxConcurrent), next: mux}
}

// service implements operatorv1connect.OperatorServiceHandler.
type service struct {
	Options
	limits   Limits
	logger   *zap.Logger
	metrics  *metrics
	watchers chan struct{} // one slot for each open stream
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
		Options:  options,
		limits:   limits,
		logger:   logger.Named("operatorapi"),
		metrics:  newMetrics(options.Registerer),
		watchers: make(chan struct{}, limits.MaxWatchers),
	}
}

func (l Limits) withDefaults() Limits {
	l.MaxRequestBytes = orDefault(l.MaxRequestBytes, DefaultLimits.MaxRequestBytes)
	l.MaxConcurrent = orDefault(l.MaxConcurrent, DefaultLimits.MaxConcurrent)
	l.MaxWatchers = orDefault(l.MaxWatchers, DefaultLimits.MaxWatchers)
	l.CallTimeout = orDefault(l.CallTimeout, DefaultLimits.CallTimeout)
	l.WatchInterval = orDefault(l.WatchInterval, DefaultLimits.WatchInterval)
	return l
}

func orDefault[T int | time.Duration](value, standard T) T {
	if value <= 0 {
		return standard
	}
	return value
}

// bounded bounds every call by the limit, or earlier if the operator asked so,
// and counts it.
func (s *service) bounded(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, s.limits.CallTimeout)
		defer cancel()
		started := time.Now()
		response, err := next(ctx, request)
		s.metrics.called(request.Spec(), err, started)
		return response, err
	}
}

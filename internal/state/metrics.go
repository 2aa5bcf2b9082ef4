package state

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// clientMetrics are the metrics of a Client's calls.
type clientMetrics struct {
	calls *prometheus.CounterVec
	waits *prometheus.HistogramVec
	// commitsPerCall is the number of commits in one call.
	commitsPerCall prometheus.Histogram
	// overdueAttempts counts further attempts while one over the direct route was unanswered.
	overdueAttempts prometheus.Counter
}

func newClientMetrics() *clientMetrics {
	return &clientMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_store_class_calls_total", Help: "Store calls by class and result.",
		}, []string{"class", "result"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_store_rate_wait_seconds",
			Help:    "Time that store calls waited for the rate limit, by class.",
			Buckets: []float64{0.001, 0.01, 0.03, 0.1, 0.3, 1},
		}, []string{"class"}),
		commitsPerCall: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "thymeloft_store_commits_per_call", Help: "Commits that were combined in one write call.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64},
		}),
		overdueAttempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_store_overdue_attempts_total", Help: "Further attempts of store calls while one over the direct route was unanswered, so that its idle connections were given up.",
		}),
	}
}

// recordCall counts a call by class and result.
func (m *clientMetrics) recordCall(class Class, err error) {
	m.calls.WithLabelValues(class.String(), resultOf(err)).Inc()
}

// recordWait records how long a call waited for the rate limit.
func (m *clientMetrics) recordWait(class Class, span time.Duration) {
	m.waits.WithLabelValues(class.String()).Observe(span.Seconds())
}

// resultOf returns the label of a call's result.
func resultOf(err error) string {
	var conflict *ConflictError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrFull):
		return "full"
	case errors.Is(err, ErrThrottled):
		return "rate"
	case errors.Is(err, ErrNotExecuted):
		return "not done"
	case errors.Is(err, ErrUnknownOutcome):
		return "unknown"
	default:
		return "error"
	}
}

// RegisterMetrics registers the client's metrics: calls and rate-limit waits by class,
// commits per call, the rates that are allowed now, and how long the store has been full.
func (c *Client) RegisterMetrics(registerer prometheus.Registerer) error {
	full := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_store_full_seconds", Help: "Time since the store became full; 0 if it is not full.",
	}, func() float64 { return c.spaceTracker.FullDuration().Seconds() })
	collectors := []prometheus.Collector{c.metrics.calls, c.metrics.waits, c.metrics.commitsPerCall, c.metrics.overdueAttempts, full}
	for kind, name := range map[CallKind]string{CallCommit: "writing", CallRead: "reading"} {
		collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "thymeloft_store_allowed_calls_per_second", Help: "Store calls per second that this daemon may send now.",
			ConstLabels: prometheus.Labels{"kind": name},
		}, func() float64 { return c.limiter.AllowedRate(kind) }))
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register store metrics")
		}
	}
	return nil
}

package state

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// clientMetrics show how calls fare at the limits of the store.
type clientMetrics struct {
	calls *prometheus.CounterVec
	waits *prometheus.HistogramVec
	// together is how many commits one call held.
	together prometheus.Histogram
}

func newClientMetrics() *clientMetrics {
	return &clientMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_store_class_calls_total", Help: "Calls of the store by what they are for and how they ended.",
		}, []string{"class", "result"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_store_rate_wait_seconds",
			Help:    "Time that calls waited for the store's rate, by what they are for.",
			Buckets: []float64{0.001, 0.01, 0.03, 0.1, 0.3, 1},
		}, []string{"class"}),
		together: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "thymeloft_store_commits_per_call", Help: "Commits that one writing call held.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64},
		}),
	}
}

func (m *clientMetrics) ended(class Class, err error) {
	m.calls.WithLabelValues(class.String(), resultOf(err)).Inc()
}

func (m *clientMetrics) waited(class Class, span time.Duration) {
	m.waits.WithLabelValues(class.String()).Observe(span.Seconds())
}

// resultOf names the end of a call.
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
	case errors.Is(err, ErrNotDone):
		return "not done"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	default:
		return "error"
	}
}

// Measure shows the calls by class, what they wait for the rate, the rate that is allowed
// now, and for how long the store has been full.
func (c *Client) Measure(registerer prometheus.Registerer) error {
	full := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_store_full_seconds", Help: "For how long the store has been full; 0: it has room.",
	}, func() float64 { return c.room.FullFor().Seconds() })
	collectors := []prometheus.Collector{c.metrics.calls, c.metrics.waits, c.metrics.together, full}
	for kind, name := range map[CallKind]string{CallCommit: "writing", CallRead: "reading"} {
		collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "thymeloft_store_allowed_calls_per_second", Help: "Calls that this daemon may send a second now.",
			ConstLabels: prometheus.Labels{"kind": name},
		}, func() float64 { return c.limiter.Allowed(kind) }))
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register metrics of the store's limits")
		}
	}
	return nil
}

package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/program"
)

// String returns the name of the ending in metrics and logs.
func (e Ending) String() string {
	switch e {
	case EndingAnswered:
		return "answered"
	case EndingNeverRan:
		return "never-ran"
	case EndingFailed:
		return "failed"
	case EndingUnknown:
		return "unknown"
	}
	return "invalid"
}

type metrics struct {
	attempts *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	lookups  prometheus.Counter
	cancels  prometheus.Counter
	inFlight prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_dispatch_attempts_total", Help: "Attempts by target and how they ended.",
		}, []string{"target", "ending"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "thymeloft_dispatch_attempt_seconds", Help: "Time of attempts by target.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 15),
		}, []string{"target"}),
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_dispatch_lookups_total", Help: "Resumed streams and looked-up executions.",
		}),
		cancels: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_dispatch_cancellations_total", Help: "Cancellations sent to back ends.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "thymeloft_dispatch_in_flight", Help: "Attempts in progress.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.attempts, m.seconds, m.lookups, m.cancels, m.inFlight)
	}
	return m
}

func (m *metrics) observe(target program.TargetKind, ending Ending, elapsed time.Duration) {
	m.attempts.WithLabelValues(string(target), ending.String()).Inc()
	m.seconds.WithLabelValues(string(target)).Observe(elapsed.Seconds())
}

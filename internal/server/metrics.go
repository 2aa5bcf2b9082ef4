package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// StoreMetrics registers the metrics of store calls and returns their observer.
func StoreMetrics(registry prometheus.Registerer) func(call, result string, took time.Duration) {
	durations := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "thymeloft_store_call_seconds",
		Help:    "Time of calls to the store, by call and result.",
		Buckets: []float64{0.002, 0.004, 0.008, 0.016, 0.03, 0.06, 0.125, 0.25, 0.5, 1, 2},
	}, []string{"call", "result"})
	registry.MustRegister(durations)
	return func(call, result string, took time.Duration) {
		durations.WithLabelValues(call, result).Observe(took.Seconds())
	}
}

package routing

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the result labels.
const (
	resultDecided = "decided"
	resultGivenUp = "given-up"
	tryDecided    = "decided"
	tryElsewhere  = "elsewhere"
	tryError      = "error"
)

type metrics struct {
	operations *prometheus.HistogramVec
	tries      *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		operations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_routing_operation_seconds",
			Help:    "Time until a daemon decided on an operation, or it was given up.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 10),
		}, []string{"method", "result"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_routing_tries_total",
			Help: "Tries of operations at daemons, by how they ended.",
		}, []string{"method", "result"}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.operations, m.tries} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) observeOperation(method, result string, started time.Time) {
	m.operations.WithLabelValues(method, result).Observe(time.Since(started).Seconds())
}

func (m *metrics) countTry(method, result string) {
	m.tries.WithLabelValues(method, result).Inc()
}

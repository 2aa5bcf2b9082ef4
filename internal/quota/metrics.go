package quota

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// The values of the result label.
const (
	resultTaken       = "taken"
	resultRefused     = "refused"
	resultUnreached   = "unreached"
	resultNotReleased = "not-given-back"
)

// metrics counts the results of permit requests. The zero value counts nothing.
type metrics struct{ results *prometheus.CounterVec }

// RegisterMetrics registers the limiter's metrics. It must be called before the first
// request.
func (l *Limiter) RegisterMetrics(registerer prometheus.Registerer) error {
	l.metrics.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_quota_places_total", Help: "Requests for a permit of a tenant's quota, by result.",
	}, []string{"result"})
	partCount := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_quota_parts_kept", Help: "Parts of tenants' quotas that this daemon owns.",
	}, func() float64 { return float64(l.issuer.PartCount()) })
	if err := registerer.Register(l.metrics.results); err != nil {
		return eris.Wrap(err, "register the quota result counter")
	}
	return eris.Wrap(registerer.Register(partCount), "register the gauge of owned quota parts")
}

func (m *metrics) countResult(result string) {
	if m.results != nil {
		m.results.WithLabelValues(result).Inc()
	}
}

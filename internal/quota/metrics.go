package quota

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// The results of asking for a place.
const (
	resultTaken        = "taken"
	resultRefused      = "refused"
	resultUnreached    = "unreached"
	resultNotGivenBack = "not-given-back"
)

// metrics counts what came of asking; its zero value counts nothing.
type metrics struct{ results *prometheus.CounterVec }

// Measure shows what came of asking for places, and how many parts this daemon keeps.
func (l *Limiter) Measure(registerer prometheus.Registerer) error {
	l.metrics.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_quota_places_total", Help: "Places in tenants' quotas, by what came of asking for them.",
	}, []string{"result"})
	kept := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_quota_parts_kept", Help: "Parts of tenants' quotas that this daemon gives places of.",
	}, func() float64 { return float64(l.keeper.Count()) })
	if err := registerer.Register(l.metrics.results); err != nil {
		return eris.Wrap(err, "register metrics of quotas")
	}
	return eris.Wrap(registerer.Register(kept), "register metrics of kept quotas")
}

func (m *metrics) ended(result string) {
	if m.results != nil {
		m.results.WithLabelValues(result).Inc()
	}
}

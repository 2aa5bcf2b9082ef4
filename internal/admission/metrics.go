package admission

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics show the bound and who is refused; the zero value counts nothing.
type metrics struct {
	refusals *prometheus.CounterVec
	contexts *prometheus.GaugeVec
	ratio    *prometheus.GaugeVec
	share    prometheus.Gauge
}

// Measure shows the controller's metrics; it is to be called before the first request.
func (c *Controller) Measure(registerer prometheus.Registerer) error {
	c.metrics = metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_admission_refused_total", Help: "Programs refused at their first turn, by cause and priority.",
		}, []string{"cause", "priority"}),
		contexts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "thymeloft_admission_context_tokens",
			Help: "Contexts of programs under way (here, fleet), this daemon's part, and the bound of the fleet.",
		}, []string{"service", "of"}),
		ratio: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "thymeloft_admission_first_byte_ratio", Help: "Mean first byte of turns under way against the idle one; 0: not known.",
		}, []string{"service"}),
		share: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "thymeloft_admission_largest_share", Help: "What the tenant that spent most lately spent, against the mean of the tenants.",
		}),
	}
	for _, collector := range []prometheus.Collector{c.metrics.refusals, c.metrics.contexts, c.metrics.ratio, c.metrics.share} {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register metrics of admission")
		}
	}
	return nil
}

func (m *metrics) refused(cause Cause, priority int) {
	if m.refusals != nil {
		m.refusals.WithLabelValues(string(cause), strconv.Itoa(priority)).Inc()
	}
}

// learned shows what a picture led to.
func (m *metrics) learned(services map[string]*service, spent spentByAll, now time.Time) {
	if m.contexts == nil {
		return
	}
	for name, service := range services {
		m.contexts.WithLabelValues(name, "here").Set(float64(service.programs.held(now)))
		m.contexts.WithLabelValues(name, "fleet").Set(float64(service.picture.Held))
		m.contexts.WithLabelValues(name, "part").Set(service.part)
		m.contexts.WithLabelValues(name, "bound").Set(service.bound.Tokens(service.room))
		m.ratio.WithLabelValues(name).Set(service.ratio)
	}
	m.share.Set(spent.largest())
}

package admission

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics holds the package's Prometheus metrics. The zero value records nothing.
type metrics struct {
	refusals *prometheus.CounterVec
	contexts *prometheus.GaugeVec
	ratio    *prometheus.GaugeVec
	share    prometheus.Gauge
}

// RegisterMetrics registers the controller's metrics. It must be called before the first request.
func (c *Controller) RegisterMetrics(registerer prometheus.Registerer) error {
	c.metrics = metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_admission_refused_total", Help: "Programs refused at their first turn, by cause and priority.",
		}, []string{"cause", "priority"}),
		contexts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "thymeloft_admission_context_tokens",
			Help: "Contexts of running programs (here, fleet), this daemon's part, and the bound of the fleet.",
		}, []string{"service", "of"}),
		ratio: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "thymeloft_admission_first_byte_ratio", Help: "Mean time to first byte of later turns, relative to that at low load; 0: not known.",
		}, []string{"service"}),
		share: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "thymeloft_admission_largest_share", Help: "Recent spending of the tenant that spent most, relative to the mean of all tenants.",
		}),
	}
	for _, collector := range []prometheus.Collector{c.metrics.refusals, c.metrics.contexts, c.metrics.ratio, c.metrics.share} {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register the metrics of admission")
		}
	}
	return nil
}

func (m *metrics) countRefusal(cause Cause, priority int) {
	if m.refusals != nil {
		m.refusals.WithLabelValues(string(cause), strconv.Itoa(priority)).Inc()
	}
}

// update sets the gauges to the current figures of all services and tenants.
func (m *metrics) update(services map[string]*service, spent tenantSpending, now time.Time) {
	if m.contexts == nil {
		return
	}
	for name, service := range services {
		m.contexts.WithLabelValues(name, "here").Set(float64(service.programs.heldTokens(now)))
		m.contexts.WithLabelValues(name, "fleet").Set(float64(service.snapshot.Held))
		m.contexts.WithLabelValues(name, "part").Set(service.part)
		m.contexts.WithLabelValues(name, "bound").Set(service.bound.Tokens(service.capacity))
		m.ratio.WithLabelValues(name).Set(service.firstByteRatio)
	}
	m.share.Set(spent.largestShare())
}

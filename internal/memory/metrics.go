package memory

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

var (
	heldDescription = prometheus.NewDesc("thymeloft_memory_held_bytes",
		"Bytes held for callers, by kind.", []string{"kind"}, nil)
	limitDescription = prometheus.NewDesc("thymeloft_memory_limit_bytes",
		"Limit for the bytes held for callers; 0 if there is none.", nil, nil)
	refusedDescription = prometheus.NewDesc("thymeloft_memory_refused_total",
		"Refused reservations of memory, by kind.", []string{"kind"}, nil)
)

// RegisterMetrics registers the metrics of the account.
func (a *Account) RegisterMetrics(registerer prometheus.Registerer) error {
	return eris.Wrap(registerer.Register(a), "register memory metrics")
}

// Describe implements prometheus.Collector.
func (a *Account) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- heldDescription
	descriptions <- limitDescription
	descriptions <- refusedDescription
}

// Collect implements prometheus.Collector.
func (a *Account) Collect(metrics chan<- prometheus.Metric) {
	metrics <- prometheus.MustNewConstMetric(limitDescription, prometheus.GaugeValue, float64(a.limit))
	for kind := range kindCount {
		held, refused := float64(a.byKind[kind].Load()), float64(a.refused[kind].Load())
		metrics <- prometheus.MustNewConstMetric(heldDescription, prometheus.GaugeValue, held, kind.String())
		metrics <- prometheus.MustNewConstMetric(refusedDescription, prometheus.CounterValue, refused, kind.String())
	}
}

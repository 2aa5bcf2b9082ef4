package memory

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

var (
	heldDescription = prometheus.NewDesc("thymeloft_memory_held_bytes",
		"Bytes held for callers, engines and tenants, by what they are.", []string{"kind"}, nil)
	limitDescription = prometheus.NewDesc("thymeloft_memory_limit_bytes",
		"The most bytes that are held for others; 0: no bound.", nil, nil)
	refusedDescription = prometheus.NewDesc("thymeloft_memory_refused_total",
		"Bytes asked for that found no room, counted by occasion.", []string{"kind"}, nil)
)

// Measure shows the account.
func (a *Account) Measure(registerer prometheus.Registerer) error {
	return eris.Wrap(registerer.Register(a), "register metrics of memory held")
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

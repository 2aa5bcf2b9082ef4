package ingress

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

var (
	connectionsDescription = prometheus.NewDesc("thymeloft_ingress_connections",
		"Open connections of clients, by listener.", []string{"listener"}, nil)
	limitDescription = prometheus.NewDesc("thymeloft_ingress_connections_limit",
		"Limit for the open connections of clients, by listener; 0 if there is none.", []string{"listener"}, nil)
	evictedDescription = prometheus.NewDesc("thymeloft_ingress_evicted_total",
		"Connections closed for a new one, by listener and what they waited for.", []string{"listener", "state"}, nil)
	refusedDescription = prometheus.NewDesc("thymeloft_ingress_refused_total",
		"New connections refused because too many are open, by listener.", []string{"listener"}, nil)
	memoryDescription = prometheus.NewDesc("thymeloft_ingress_evicted_for_memory_total",
		"Connections closed to make room in memory, by listener.", []string{"listener"}, nil)
	headersDescription = prometheus.NewDesc("thymeloft_ingress_headers_refused_total",
		"Request headers refused because they did not fit into memory.", nil, nil)
	bulkWaitsDescription = prometheus.NewDesc("thymeloft_ingress_bulk_waits_total",
		"Waits of large headers, large bodies and requests sent ahead until the process may work on them.", nil, nil)
)

// RegisterMetrics registers the metrics of the group.
func (g *Group) RegisterMetrics(registerer prometheus.Registerer) error {
	return eris.Wrap(registerer.Register(g), "register ingress metrics")
}

// Describe implements prometheus.Collector.
func (g *Group) Describe(descriptions chan<- *prometheus.Desc) {
	for _, each := range []*prometheus.Desc{
		connectionsDescription, limitDescription, evictedDescription, refusedDescription, memoryDescription, headersDescription, bulkWaitsDescription,
	} {
		descriptions <- each
	}
}

// Collect implements prometheus.Collector.
func (g *Group) Collect(metrics chan<- prometheus.Metric) {
	count := func(description *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	g.mutex.Lock()
	limiters := g.limiters
	g.mutex.Unlock()
	for _, limiter := range limiters {
		metrics <- prometheus.MustNewConstMetric(connectionsDescription, prometheus.GaugeValue, float64(limiter.Open()), limiter.name)
		metrics <- prometheus.MustNewConstMetric(limitDescription, prometheus.GaugeValue, float64(limiter.options.MaxConnections), limiter.name)
		for state := range stateServing {
			count(evictedDescription, limiter.evicted[state].Load(), limiter.name, state.String())
		}
		count(refusedDescription, limiter.refused.Load(), limiter.name)
		count(memoryDescription, limiter.evictedForMemory.Load(), limiter.name)
	}
	count(headersDescription, g.refusedHeaders.Load())
	count(bulkWaitsDescription, g.bulkWaits.Load())
}

// Open returns the number of open connections.
func (d *Limiter) Open() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.open
}

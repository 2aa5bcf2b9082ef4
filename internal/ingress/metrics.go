package ingress

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

var (
	connectionsDescription = prometheus.NewDesc("thymeloft_ingress_connections",
		"Open connections of clients, by listener.", []string{"door"}, nil)
	limitDescription = prometheus.NewDesc("thymeloft_ingress_connections_limit",
		"Limit for the open connections of clients, by listener; 0 if there is none.", []string{"door"}, nil)
	evictedDescription = prometheus.NewDesc("thymeloft_ingress_evicted_total",
		"Connections closed for a new one, by listener and what they waited for.", []string{"door", "state"}, nil)
	refusedDescription = prometheus.NewDesc("thymeloft_ingress_refused_total",
		"New connections closed because too many are open, by listener.", []string{"door"}, nil)
	memoryDescription = prometheus.NewDesc("thymeloft_ingress_evicted_for_memory_total",
		"Connections closed to make room in memory, by listener.", []string{"door"}, nil)
	headersDescription = prometheus.NewDesc("thymeloft_ingress_headers_refused_total",
		"Request headers refused because they did not fit into memory.", nil, nil)
	turnsDescription = prometheus.NewDesc("thymeloft_ingress_turns_waited_total",
		"Turns for large headers, large bodies and requests sent ahead that had to be waited for.", nil, nil)
)

// RegisterMetrics registers the metrics of the group.
func (g *Group) RegisterMetrics(registerer prometheus.Registerer) error {
	return eris.Wrap(registerer.Register(g), "register ingress metrics")
}

// Describe implements prometheus.Collector.
func (g *Group) Describe(descriptions chan<- *prometheus.Desc) {
	for _, each := range []*prometheus.Desc{
		connectionsDescription, limitDescription, evictedDescription, refusedDescription, memoryDescription, headersDescription, turnsDescription,
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
	doors := g.doors
	g.mutex.Unlock()
	for _, door := range doors {
		metrics <- prometheus.MustNewConstMetric(connectionsDescription, prometheus.GaugeValue, float64(door.Open()), door.name)
		metrics <- prometheus.MustNewConstMetric(limitDescription, prometheus.GaugeValue, float64(door.options.MaxConnections), door.name)
		for state := range stateServing {
			count(evictedDescription, door.evicted[state].Load(), door.name, state.String())
		}
		count(refusedDescription, door.refused.Load(), door.name)
		count(memoryDescription, door.evictedForMemory.Load(), door.name)
	}
	count(headersDescription, g.refusedHeaders.Load())
	count(turnsDescription, g.waitedTurns.Load())
}

// Open returns the number of open connections.
func (d *Door) Open() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.open
}

package members

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics is a prometheus.Collector that reads the list at each scrape.
type metrics struct {
	list    *List
	members *prometheus.Desc
	silent  *prometheus.Desc
}

// RegisterMetrics registers the metrics of the list.
func (l *List) RegisterMetrics(registerer prometheus.Registerer) error {
	collector := &metrics{
		list:    l,
		members: prometheus.NewDesc("thymeloft_members", "Members by state, as this daemon knows them.", []string{"state"}, nil),
		silent: prometheus.NewDesc("thymeloft_member_zone_silent",
			"1 for another zone whose members are skipped, because several of them did not answer and none has answered since.", []string{"zone"}, nil),
	}
	return eris.Wrap(registerer.Register(collector), "register metrics of members")
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.members
	descriptions <- m.silent
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(output chan<- prometheus.Metric) {
	counts := map[State]int{StateAlive: 0, StateLeaving: 0, StateDead: 0}
	for _, member := range m.list.View().Members {
		counts[member.State]++
	}
	for state, count := range counts {
		output <- prometheus.MustNewConstMetric(m.members, prometheus.GaugeValue, float64(count), string(state))
	}
	for zone, living := range m.list.current.Load().otherZones {
		silent := 0.0
		if living[0].zone.isSilent.Load() {
			silent = 1
		}
		output <- prometheus.MustNewConstMetric(m.silent, prometheus.GaugeValue, silent, string(zone))
	}
}

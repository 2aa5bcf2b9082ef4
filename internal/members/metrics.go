package members

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics counts members by state when they are read.
type metrics struct {
	list    *List
	members *prometheus.Desc
	silent  *prometheus.Desc
}

// Measure shows how many members there are by state.
func (l *List) Measure(registerer prometheus.Registerer) error {
	counted := &metrics{
		list:    l,
		members: prometheus.NewDesc("thymeloft_members", "Members by state, as this daemon knows them.", []string{"state"}, nil),
		silent: prometheus.NewDesc("thymeloft_member_zone_silent",
			"1 for another zone whose members are passed over, since several gave no answer and none did.", []string{"zone"}, nil),
	}
	return eris.Wrap(registerer.Register(counted), "register metrics of members")
}

// Describe is part of prometheus.Collector.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.members
	descriptions <- m.silent
}

// Collect is part of prometheus.Collector.
func (m *metrics) Collect(collected chan<- prometheus.Metric) {
	counts := map[State]int{StateAlive: 0, StateLeaving: 0, StateDead: 0}
	for _, member := range m.list.View().Members {
		counts[member.State]++
	}
	for state, count := range counts {
		collected <- prometheus.MustNewConstMetric(m.members, prometheus.GaugeValue, float64(count), string(state))
	}
	for zone, living := range m.list.current.Load().away {
		silent := 0.0
		if living[0].reach.silent.Load() {
			silent = 1
		}
		collected <- prometheus.MustNewConstMetric(m.silent, prometheus.GaugeValue, silent, string(zone))
	}
}

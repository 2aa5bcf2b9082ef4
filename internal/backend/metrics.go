package backend

import "github.com/prometheus/client_golang/prometheus"

// Collector shows, for each service, how the speeds of its instances are judged: how many are
// known, how many are told apart as slow, and the part of the programs that fast ones
// are asked for first.
func (f *Fleet) Collector() prometheus.Collector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("thymeloft_engine_speeds_"+name, help, []string{"service"}, nil)
	}
	return &speedsCollector{
		fleet: f,
		known: describe("known", "Engines whose speed the daemons know."),
		slow:  describe("slow", "Engines told apart as slower than the fast ones."),
		hasty: describe("hasty", "Part of the programs that take fast engines first; 0: none, or nothing is known."),
	}
}

type speedsCollector struct {
	fleet              *Fleet
	known, slow, hasty *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *speedsCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.known
	descriptions <- c.slow
	descriptions <- c.hasty
}

// Collect implements prometheus.Collector.
func (c *speedsCollector) Collect(metrics chan<- prometheus.Metric) {
	request := &Request{Now: c.fleet.now()}
	for service, instances := range *c.fleet.current.Load() {
		usual := referenceOf(instances, request)
		known, slow := 0, 0
		for _, instance := range instances {
			if instance.speed.known(request.Now).answers < enoughAnswers {
				continue
			}
			known++
			if usual.speedOf(instance, request.Now) < 1 {
				slow++
			}
		}
		gauge := func(description *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, service)
		}
		gauge(c.known, float64(known))
		gauge(c.slow, float64(slow))
		gauge(c.hasty, usual.hasty)
	}
}

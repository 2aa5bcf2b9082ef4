package backend

import "github.com/prometheus/client_golang/prometheus"

// Collector returns a collector of speed metrics for each service: the number of instances whose
// speed is known, the number of those that are slow, and the share of the programs that prefer
// fast instances.
func (f *Fleet) Collector() prometheus.Collector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("thymeloft_engine_speeds_"+name, help, []string{"service"}, nil)
	}
	return &speedsCollector{
		fleet:           f,
		known:           describe("known", "Engines whose speed is known."),
		slow:            describe("slow", "Engines that are slower than the fast ones."),
		preferFastShare: describe("hasty", "Share of the programs that prefer fast engines, from 0 to 1; 0 if no speed is known."),
	}
}

type speedsCollector struct {
	fleet                        *Fleet
	known, slow, preferFastShare *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *speedsCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.known
	descriptions <- c.slow
	descriptions <- c.preferFastShare
}

// Collect implements prometheus.Collector.
func (c *speedsCollector) Collect(metrics chan<- prometheus.Metric) {
	request := &PlacementRequest{Now: c.fleet.now()}
	for service, instances := range *c.fleet.byService.Load() {
		baseline := computeSpeedBaseline(instances, request)
		known, slow := 0, 0
		for _, instance := range instances {
			if instance.speed.current(request.Now).answers < minAnswers {
				continue
			}
			known++
			if baseline.speedRatio(instance, request.Now) < 1 {
				slow++
			}
		}
		gauge := func(description *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, service)
		}
		gauge(c.known, float64(known))
		gauge(c.slow, float64(slow))
		gauge(c.preferFastShare, baseline.preferFastShare)
	}
}

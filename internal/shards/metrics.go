package shards

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics are what a node counts.
type metrics struct {
	commits   *prometheus.HistogramVec
	takeovers prometheus.Counter
	handOvers prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, node *Node) (*metrics, error) {
	made := &metrics{
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "thymeloft_shards_commit_seconds", Help: "Time from a proposal to its decision, by result.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"result"}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_shards_takeovers_total", Help: "Leaderships that this daemon began.",
		}),
		handOvers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_shards_hand_overs_total", Help: "Leaderships handed over for balance.",
		}),
	}
	if registry == nil {
		return made, nil
	}
	led := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_shards_led", Help: "Shards that this daemon leads.",
	}, func() float64 { return float64(len(node.led())) })
	for _, collector := range []prometheus.Collector{made.commits, made.takeovers, made.handOvers, led} {
		if err := registry.Register(collector); err != nil {
			return nil, eris.Wrap(err, "register the metrics of shards")
		}
	}
	return made, nil
}

func (m *metrics) committed(took time.Duration, err error) {
	result := "committed"
	if err != nil {
		result = "failed"
	}
	m.commits.WithLabelValues(result).Observe(took.Seconds())
}

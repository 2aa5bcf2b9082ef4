package shards

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics contains the metrics of a node.
type metrics struct {
	commitSeconds *prometheus.HistogramVec
	takeovers     prometheus.Counter
	handOvers     prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, node *Node) (*metrics, error) {
	m := &metrics{
		commitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
		return m, nil
	}
	led := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_shards_led", Help: "Shards that this daemon leads.",
	}, func() float64 { return float64(len(node.ledShards())) })
	for _, collector := range []prometheus.Collector{m.commitSeconds, m.takeovers, m.handOvers, led} {
		if err := registry.Register(collector); err != nil {
			return nil, eris.Wrap(err, "shards: register metrics")
		}
	}
	return m, nil
}

func (m *metrics) observeCommit(took time.Duration, err error) {
	result := "committed"
	if err != nil {
		result = "failed"
	}
	m.commitSeconds.WithLabelValues(result).Observe(took.Seconds())
}

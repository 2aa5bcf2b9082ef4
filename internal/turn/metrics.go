package turn

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics show what is kept and read.
type metrics struct {
	keptBytes  prometheus.Gauge
	pieceBytes prometheus.Counter
	reads      *prometheus.CounterVec
	readings   prometheus.Histogram
	rebases    prometheus.Counter
	broken     prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		keptBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "thymeloft_turn_kept_bytes", Help: "Bytes of turns that this daemon wrote and has not removed itself; those left to the sweep stay counted.",
		}),
		pieceBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_turn_piece_bytes_total", Help: "Bytes of pieces that this daemon wrote.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_turn_reads_total", Help: "Turns that were gone on from, by where they were read.",
		}, []string{"from"}),
		readings: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "thymeloft_turn_readings", Help: "Readings of the store for one conversation.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64},
		}),
		rebases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_turn_rebases_total", Help: "Turns whose rows hold the whole conversation, since the turns before them are over first.",
		}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_turn_broken_total", Help: "Conversations that were recorded and could not be put together.",
		}),
	}
}

func (m *metrics) read(from string) { m.reads.WithLabelValues(from).Inc() }

// Measure shows what this daemon keeps and reads of turns.
func (r *Records) Measure(registerer prometheus.Registerer) error {
	cached := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_turn_cached_bytes", Help: "Bytes of turns in memory, besides shared pieces.",
	}, func() float64 { return float64(r.cache.size()) })
	shared := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_turn_cached_piece_bytes", Help: "Bytes of shared pieces in memory.",
	}, func() float64 { return float64(r.pieces.Bytes()) })
	own := r.metrics
	var failures []error
	for _, each := range []prometheus.Collector{own.keptBytes, own.pieceBytes, own.reads, own.readings, own.rebases, own.broken, cached, shared} {
		failures = append(failures, registerer.Register(each))
	}
	return eris.Wrap(errors.Join(failures...), "register metrics of turns")
}

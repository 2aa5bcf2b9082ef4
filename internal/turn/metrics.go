package turn

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics are the metrics of Records.
type metrics struct {
	keptBytes    prometheus.Gauge       // bytes of turns that this daemon wrote and has not removed
	pieceBytes   prometheus.Counter     // bytes of pieces written
	reads        *prometheus.CounterVec // turns loaded, by where they were loaded from
	readsPerLoad prometheus.Histogram   // store reads of turns' rows for each load
	rebases      prometheus.Counter     // turns saved with their whole conversation
	broken       prometheus.Counter     // loads that ended with a BrokenError
}

func newMetrics() *metrics {
	return &metrics{
		keptBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "thymeloft_turn_kept_bytes", Help: "Bytes of turns that this daemon wrote and has not removed itself; rows that the sweep removes stay counted.",
		}),
		pieceBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_turn_piece_bytes_total", Help: "Bytes of pieces that this daemon wrote.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_turn_reads_total", Help: "Turns that were loaded to be continued, by where they were read.",
		}, []string{"from"}),
		readsPerLoad: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "thymeloft_turn_readings", Help: "Store reads of the rows of turns for loading one conversation.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64},
		}),
		rebases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_turn_rebases_total", Help: "Turns whose rows hold the whole conversation, since earlier turns expire too soon to be referred to.",
		}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "thymeloft_turn_broken_total", Help: "Recorded conversations that could not be reassembled.",
		}),
	}
}

// read counts a loaded turn by where it was loaded from.
func (m *metrics) read(from string) { m.reads.WithLabelValues(from).Inc() }

// RegisterMetrics registers the metrics of the Records. It fails if some are registered already.
func (r *Repository) RegisterMetrics(registerer prometheus.Registerer) error {
	cached := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_turn_cached_bytes", Help: "Bytes of turns in memory, without shared pieces.",
	}, func() float64 { return float64(r.cache.size()) })
	shared := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_turn_cached_piece_bytes", Help: "Bytes of shared pieces in memory.",
	}, func() float64 { return float64(r.pieces.CachedBytes()) })
	m := r.metrics
	var failures []error
	for _, each := range []prometheus.Collector{m.keptBytes, m.pieceBytes, m.reads, m.readsPerLoad, m.rebases, m.broken, cached, shared} {
		failures = append(failures, registerer.Register(each))
	}
	return eris.Wrap(errors.Join(failures...), "register metrics of turns")
}

package engine

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	polls        *prometheus.CounterVec
	orders       *prometheus.CounterVec
	ejections    prometheus.Counter
	released     prometheus.Counter
	reconciled   prometheus.Counter
	overflowed   prometheus.Counter
	pending      prometheus.Gauge
	supervised   prometheus.Gauge
	accepting    prometheus.Gauge
	digestsSent  prometheus.Counter
	digestBytes  *prometheus.CounterVec
	digestErrors prometheus.Counter
	rebuild      prometheus.Histogram
}

const (
	labelSent     = "sent"
	labelReceived = "received"
	labelOK       = "ok"
	labelFailed   = "failed"
	labelStale    = "stale-fence"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		polls:        newCounterVec("polls_total", "Reads of engines' states by result.", "result"),
		orders:       newCounterVec("orders_total", "Orders to engines by kind and result.", "kind", "result"),
		ejections:    newCounter("ejections_total", "Engines ejected because they failed or were slow."),
		released:     newCounter("released_programs_total", "Programs whose memory an engine confirmed as released."),
		reconciled:   newCounter("reconciled_programs_total", "Programs found held by an engine after their end."),
		overflowed:   newCounter("releases_overflowed_total", "Releases left to reconciliation because a queue was full."),
		pending:      newGauge("releases_pending", "Releases that no engine has confirmed yet."),
		supervised:   newGauge("supervised", "Engines supervised by this daemon."),
		accepting:    newGauge("accepting", "Engines that get new work from this daemon."),
		digestsSent:  newCounter("digests_sent_total", "Digests sent to other daemons."),
		digestBytes:  newCounterVec("digest_bytes_total", "Bytes of digests by direction.", "direction"),
		digestErrors: newCounter("digest_errors_total", "Batches of digests that could not be sent or read."),
		rebuild: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "thymeloft", Subsystem: "engine", Name: "snapshot_rebuild_seconds",
			Help: "Time to rebuild the scheduler's snapshot.", Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.polls, m.orders, m.ejections, m.released, m.reconciled, m.overflowed, m.pending,
			m.supervised, m.accepting, m.digestsSent, m.digestBytes, m.digestErrors, m.rebuild)
	}
	return m
}

func metricOpts(name, help string) prometheus.Opts {
	return prometheus.Opts{Namespace: "thymeloft", Subsystem: "engine", Name: name, Help: help}
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts(metricOpts(name, help)))
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts(metricOpts(name, help)), labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts(metricOpts(name, help)))
}

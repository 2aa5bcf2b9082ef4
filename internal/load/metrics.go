package load

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics counts reports by result and holds the time of the last reply.
type metrics struct {
	reports *prometheus.CounterVec
	// receivedAt is when a reply was last received, in nanoseconds since the Unix epoch; 0 if
	// never.
	receivedAt atomic.Int64
}

// Results of a report: values of the label "result".
const (
	resultReceived     = "learned"
	resultNoAnswer     = "no-answer"
	resultUnreadable   = "unreadable"
	resultNoAggregator = "nobody-to-ask"
)

// RegisterMetrics registers the exchange's metrics. It must be called before Run.
func (e *Exchange) RegisterMetrics(registerer prometheus.Registerer) error {
	e.metrics.reports = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_load_reports_total", Help: "Reports of this daemon's load to an aggregator, by result.",
	}, []string{"result"})
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_load_picture_age_seconds", Help: "Time since the loads of all daemons were last received; -1 if never.",
	}, e.metrics.age)
	aggregated := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_load_reporters", Help: "Number of daemons that report to this one.",
	}, func() float64 { return float64(e.Board.countReporters()) })
	for _, collector := range []prometheus.Collector{e.metrics.reports, age, aggregated} {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register load metrics")
		}
	}
	return nil
}

// age returns the seconds since a reply was last received, or -1 if none was.
func (m *metrics) age() float64 {
	const never = -1
	at := m.receivedAt.Load()
	if at == 0 {
		return never
	}
	return time.Since(time.Unix(0, at)).Seconds()
}

// countReport counts a report if the metrics are registered, and records the time of a
// successful one.
func (m *metrics) countReport(result string) {
	if result == resultReceived {
		m.receivedAt.Store(time.Now().UnixNano())
	}
	if m.reports != nil {
		m.reports.WithLabelValues(result).Inc()
	}
}

package load

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics tell how old this daemon's picture is, and how its reports ended.
type metrics struct {
	reports *prometheus.CounterVec
	// learnedAt is when a picture was last taken in, in nanoseconds since the
	// epoch; 0: never.
	learnedAt atomic.Int64
}

// The ends of a report.
const (
	resultLearned    = "learned"
	resultNoAnswer   = "no-answer"
	resultUnreadable = "unreadable"
	resultNobody     = "nobody-to-ask"
)

// Measure shows the exchange's metrics; it is to be called before Run.
func (e *Exchange) Measure(registerer prometheus.Registerer) error {
	e.metrics.reports = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_load_reports_total", Help: "Reports of this daemon's load to an aggregator, by how they ended.",
	}, []string{"result"})
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_load_picture_age_seconds", Help: "Time since the loads of all daemons were last heard; -1: never.",
	}, e.metrics.age)
	aggregated := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_load_reporters", Help: "Daemons that report to this one.",
	}, func() float64 { return float64(e.Board.reporters()) })
	for _, collector := range []prometheus.Collector{e.metrics.reports, age, aggregated} {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register metrics of loads")
		}
	}
	return nil
}

func (m *metrics) age() float64 {
	const never = -1
	at := m.learnedAt.Load()
	if at == 0 {
		return never
	}
	return time.Since(time.Unix(0, at)).Seconds()
}

// ended counts a report; nothing is counted where nothing is measured.
func (m *metrics) ended(result string) {
	if result == resultLearned {
		m.learnedAt.Store(time.Now().UnixNano())
	}
	if m.reports != nil {
		m.reports.WithLabelValues(result).Inc()
	}
}

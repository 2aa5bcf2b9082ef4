package engineloss

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// The values of the result labels.
const (
	resultClean       = "clean"       // no engine has ended under the work
	resultUninformed  = "uninformed"  // like clean, but no home answered that has kept records for long enough
	resultSuspect     = "suspect"     // fewer than MaxEngines have
	resultBusy        = "busy"        // the attempt must wait for others
	resultBlocked     = "blocked"     // MaxEngines have
	resultConfirmed   = "confirmed"   // by all homes
	resultUnconfirmed = "unconfirmed" // by some homes or none, when the caller was answered
)

// metrics counts attempts and reports. The zero value counts nothing.
type metrics struct {
	begun, reported *prometheus.CounterVec
	dropped         prometheus.Counter
}

// RegisterMetrics registers the metrics of the exchange. It must be called before its first use.
func (e *Exchange) RegisterMetrics(registerer prometheus.Registerer) error {
	e.metrics.begun = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_engine_loss_attempts_total", Help: "Attempts to send work to an engine, by what is known about the work.",
	}, []string{"result"})
	e.metrics.reported = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_engine_loss_reports_total", Help: "Engines that ended under a request, by whether the other daemons had confirmed it when the caller was answered.",
	}, []string{"result"})
	e.metrics.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "thymeloft_engine_loss_updates_dropped_total", Help: "Updates that were not sent, since too many were being sent.",
	})
	records := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_engine_loss_records", Help: "Pieces of work of which this daemon holds a record.",
	}, func() float64 { return float64(e.records.Len()) })
	err := errors.Join(registerer.Register(e.metrics.begun), registerer.Register(e.metrics.reported), registerer.Register(e.metrics.dropped), registerer.Register(records))
	return eris.Wrap(err, "register metrics of engine losses")
}

func (m *metrics) countBegun(permit *Permit) {
	if m.begun == nil {
		return
	}
	result := resultClean
	switch {
	case permit.IsBlocked():
		result = resultBlocked
	case permit.IsBusy:
		result = resultBusy
	case permit.IsSuspect():
		result = resultSuspect
	case !permit.isInformed:
		result = resultUninformed
	}
	m.begun.WithLabelValues(result).Inc()
}

func (m *metrics) countReported(isConfirmed bool) {
	if m.reported == nil {
		return
	}
	result := resultUnconfirmed
	if isConfirmed {
		result = resultConfirmed
	}
	m.reported.WithLabelValues(result).Inc()
}

func (m *metrics) countDropped() {
	if m.dropped != nil {
		m.dropped.Inc()
	}
}

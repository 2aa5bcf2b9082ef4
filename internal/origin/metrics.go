package origin

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// The values of the result label.
const (
	resultConfirmed   = "confirmed"    // at least one other daemon has the record
	resultUnconfirmed = "unconfirmed"  // no other daemon confirmed it
	resultDropped     = "dropped"      // too many records were being told
	resultHere        = "here"         // this daemon had it
	resultAtOther     = "other-daemon" // another daemon had it
	resultUnknown     = "unknown"      // no daemon that was asked has it
)

// metrics counts records and searches. The zero value counts nothing.
type metrics struct{ told, found *prometheus.CounterVec }

// RegisterMetrics registers the metrics of the exchange. It must be called before the first record.
func (e *Exchange) RegisterMetrics(registerer prometheus.Registerer) error {
	e.metrics.told = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_stream_origins_told_total", Help: "Origins of streams that were told to other daemons, by result.",
	}, []string{"result"})
	e.metrics.found = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_stream_origins_found_total", Help: "Searches for the origin of a stream, by result.",
	}, []string{"result"})
	count := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_stream_origins", Help: "Origins of streams that this daemon holds.",
	}, func() float64 { return float64(e.records.Len()) })
	err := errors.Join(registerer.Register(e.metrics.told), registerer.Register(e.metrics.found), registerer.Register(count))
	return eris.Wrap(err, "register metrics of stream origins")
}

func (m *metrics) countTold(result string) {
	if m.told != nil {
		m.told.WithLabelValues(result).Inc()
	}
}

func (m *metrics) countFound(result string) {
	if m.found != nil {
		m.found.WithLabelValues(result).Inc()
	}
}

package beginning

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// The values of the result label.
const (
	resultTold    = "told"         // other daemons are told of the stream
	resultDropped = "dropped"      // they are not, since they are told of too many
	resultHere    = "here"         // this daemon had the beginning
	resultAtOther = "other-daemon" // another daemon had it
	resultUnknown = "unknown"      // no daemon that was asked has it
)

// metrics counts streams and searches. The zero value counts nothing.
type metrics struct{ streams, searches *prometheus.CounterVec }

// RegisterMetrics registers the metrics of the exchange. It must be called before the first stream.
func (e *Exchange) RegisterMetrics(registerer prometheus.Registerer) error {
	e.metrics.streams = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_stream_beginnings_total", Help: "Streams that are recorded and may be continued, by whether other daemons are told of them.",
	}, []string{"result"})
	e.metrics.searches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_stream_beginnings_searched_total", Help: "Searches for the beginning of a stream, by result.",
	}, []string{"result"})
	count := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_stream_beginnings", Help: "Beginnings of streams that this daemon holds.",
	}, func() float64 { return float64(e.records.Len()) })
	err := errors.Join(registerer.Register(e.metrics.streams), registerer.Register(e.metrics.searches), registerer.Register(count))
	return eris.Wrap(err, "register metrics of beginnings of streams")
}

func (m *metrics) countStream(result string) { count(m.streams, result) }

func (m *metrics) countSearch(result string) { count(m.searches, result) }

func count(counter *prometheus.CounterVec, result string) {
	if counter != nil {
		counter.WithLabelValues(result).Inc()
	}
}

package operatorapi

import (
	"path"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/configuration"
)

// Values of the label "result" for changes of the configuration.
const (
	resultAccepted  = "accepted"
	resultConflict  = "conflict"
	resultInvalid   = "invalid"
	resultUncertain = "uncertain"
	resultNotMade   = "not-made"
)

// codeOK is the value of the label "code" for calls without an error.
const codeOK = "ok"

type metrics struct {
	calls   *prometheus.HistogramVec
	changes *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_operatorapi_call_seconds",
			Help:    "Duration of operator calls, except WatchConfiguration streams.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"call", "code"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_operatorapi_changes_total",
			Help: "Configuration changes requested at this daemon, by result.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.changes)
	}
	return m
}

func (m *metrics) observeCall(spec connect.Spec, err error, started time.Time) {
	code := codeOK
	if err != nil {
		code = connect.CodeOf(err).String()
	}
	m.calls.WithLabelValues(path.Base(spec.Procedure), code).Observe(time.Since(started).Seconds())
}

func (m *metrics) observeChange(result configuration.ChangeResult, err error) {
	label := resultInvalid
	switch {
	case err != nil && isUncertain(err):
		label = resultUncertain
	case err != nil:
		label = resultNotMade
	case result.Accepted:
		label = resultAccepted
	case result.Conflict:
		label = resultConflict
	}
	m.changes.WithLabelValues(label).Inc()
}

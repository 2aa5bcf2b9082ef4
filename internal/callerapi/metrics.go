package callerapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests *prometheus.HistogramVec
	streams  *prometheus.CounterVec
}

// Values of the label "end" of the metric of streams.
const (
	streamAnswered   = "answered"
	streamProblem    = "problem"
	streamRestarted  = "restarted"
	streamCallerLeft = "caller-left"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_callerapi_request_seconds",
			Help:    "Time to serve a caller's request, with the wait for the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 10),
		}, []string{"operation", "status"}),
		streams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_callerapi_streams_total",
			Help: "Streams to callers, by how they ended.",
		}, []string{"end"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.streams)
	}
	return m
}

// observeRequest records the time since the start of a request that has ended. A
// status of zero means 200.
func (m *metrics) observeRequest(operation string, status int, start time.Time) {
	if status == 0 {
		status = http.StatusOK
	}
	m.requests.WithLabelValues(operation, strconv.Itoa(status)).Observe(time.Since(start).Seconds())
}

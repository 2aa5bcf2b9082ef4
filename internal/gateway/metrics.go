package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/backend"
)

// Metrics holds the gateway's metrics: requests in progress, finished requests by status and
// reason, their duration, and the time to record turns.
type Metrics struct {
	inFlight prometheus.Gauge
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	record   *prometheus.HistogramVec
	answers  *prometheus.CounterVec
	losses   *prometheus.CounterVec
}

// NewMetrics creates the gateway's metrics and registers them. It panics if one of them is
// registered already.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8}
	metrics := &Metrics{
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "thymeloft_requests_under_way", Help: "Requests that are being served.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_requests_total", Help: "Requests by status and reason.",
		}, []string{"status", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "thymeloft_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: buckets,
		}, []string{"reason"}),
		record: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "thymeloft_record_seconds", Help: "Time to record a turn.", Buckets: buckets,
		}, []string{"result"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_answers_total", Help: "Answers of engines that were relayed, by how they mark their end, and by what is known about it.",
		}, []string{"framing", "ending"}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "thymeloft_engine_losses_total", Help: "Connections to engines that ended while the engine may have been running a request, by what a new connection showed.",
		}, []string{"engine_state"}),
	}
	registry.MustRegister(metrics.inFlight, metrics.requests, metrics.duration, metrics.record, metrics.answers, metrics.losses)
	return metrics
}

// observeRequest counts a finished request by status and reason, and notes its duration by reason.
func (m *Metrics) observeRequest(_ string, status int, reason Reason, took time.Duration) {
	m.requests.WithLabelValues(strconv.Itoa(status), string(reason)).Inc()
	m.duration.WithLabelValues(string(reason)).Observe(took.Seconds())
}

// observeAnswer counts an answer that was relayed, whole or in part.
func (m *Metrics) observeAnswer(framing answer.Framing, ending answer.Ending) {
	m.answers.WithLabelValues(framing.String(), ending.String()).Inc()
}

// observeRecord notes how long it took to record a turn, and whether it failed.
func (m *Metrics) observeRecord(took time.Duration, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.record.WithLabelValues(result).Observe(took.Seconds())
}

// Losses after which the engine is not checked, as values of the label engine_state.
const (
	uncheckedLeaving = "unchecked-leaving" // the engine has been leaving for longer than Gateway.InstanceGrace
	// The attempt was given up less than minSilenceForFailure after it was sent, or maxLossWatches are under way.
	uncheckedAbandoned = "unchecked-abandoned"
)

// observeUncheckedLoss counts a loss after which the engine is not checked.
func (m *Metrics) observeUncheckedLoss(why string) { m.losses.WithLabelValues(why).Inc() }

// observeLoss counts a connection that ended while the engine may have been running a request.
func (m *Metrics) observeLoss(liveness backend.Liveness) {
	m.losses.WithLabelValues(liveness.String()).Inc()
}

package execution

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics holds the Prometheus collectors of the service. Every label has a
// small fixed set of values.
type metrics struct {
	calls     *prometheus.CounterVec   // by final state
	latency   *prometheus.HistogramVec // seconds, by kind of target
	refused   *prometheus.CounterVec   // by reason
	decisions *prometheus.CounterVec   // by reason
	resumed   *prometheus.CounterVec   // by ending of the attempt
	retries   prometheus.Counter
	ended     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, service *Service) (*metrics, error) {
	counters := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "thymeloft", Subsystem: "execution", Name: name, Help: help}, []string{label})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "thymeloft", Subsystem: "execution", Name: name, Help: help})
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "thymeloft", Subsystem: "execution", Name: name, Help: help}, value)
	}
	m := &metrics{
		calls:     counters("calls_total", "Calls that became final on this daemon, by state.", "state"),
		refused:   counters("refused_total", "Requests refused before acceptance and retries suppressed, by reason.", "reason"),
		decisions: counters("decisions_total", "Decisions of the scheduler, by reason.", "reason"),
		resumed:   counters("resumed_total", "Attempts of previous leaders looked up, by ending.", "ending"),
		retries:   counter("retries_total", "Attempts after the first of a call."),
		ended:     counter("programs_ended_total", "Programs that ended while this daemon led their shard."),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "thymeloft", Subsystem: "execution", Name: "call_seconds",
			Help:    "Time from acceptance to the answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 16),
		}, []string{"target"}),
	}
	collectors := []prometheus.Collector{
		m.calls, m.refused, m.decisions, m.resumed, m.retries, m.ended, m.latency,
		gauge("calls_running", "Unfinished calls on this daemon, including those that are queued or wait for an engine.", func() float64 { return float64(service.countRuns()) }),
		gauge("calls_queued", "Calls that are queued until a slot is free.", func() float64 { return float64(service.gate.countQueued()) }),
		gauge("calls_waiting", "Calls that wait for an engine.", func() float64 { return float64(service.waitQueues.count()) }),
		gauge("shards_led", "Program shards that this daemon leads.", func() float64 { return float64(len(*service.leaderships.Load())) }),
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return nil, eris.Wrap(err, "register collector")
		}
	}
	return m, nil
}

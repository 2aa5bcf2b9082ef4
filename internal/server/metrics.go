package server

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/thymeloft/thymeloft/internal/state"
)

// StoreMetrics counts the calls to the store. It exports them as metrics and writes
// them to the log, for operators who have only the log. It is safe for concurrent
// use.
type StoreMetrics struct {
	durations *prometheus.HistogramVec
	mutex     sync.Mutex
	counts    map[callLabels]int64
}

// callLabels are the values by which calls are counted separately.
type callLabels struct {
	kind   state.CallKind
	table  string
	result string // the status in decimal, or noAnswer
}

// noAnswer is the result of a call to which the store did not respond.
const noAnswer = "no answer"

// NewStoreMetrics returns counters that are zero and registers their metrics. It
// panics if the metrics are already registered.
func NewStoreMetrics(registry prometheus.Registerer) *StoreMetrics {
	calls := &StoreMetrics{
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_store_call_seconds",
			Help:    "Time of calls to the store, by call, table and result.",
			Buckets: []float64{0.002, 0.004, 0.008, 0.016, 0.03, 0.06, 0.125, 0.25, 0.5, 1, 2},
		}, []string{"call", "table", "result"}),
		counts: map[callLabels]int64{},
	}
	registry.MustRegister(calls.durations)
	return calls
}

// Observe counts one call that has ended.
func (s *StoreMetrics) Observe(call state.CallResult) {
	labels := callLabels{kind: call.Kind, table: call.Table, result: noAnswer}
	if call.Status != 0 {
		labels.result = strconv.Itoa(call.Status)
	}
	s.durations.WithLabelValues(string(labels.kind), labels.table, labels.result).Observe(call.Duration.Seconds())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[labels]++
}

// summaryInterval is the time between two log lines of LogSummaries.
const summaryInterval = 15 * time.Second

// LogSummaries logs the numbers of calls so far once per summaryInterval, until the
// context ends.
func (s *StoreMetrics) LogSummaries(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			log.Info("store: calls so far.", zap.Object("calls", s.snapshot()))
		}
	}
}

func (s *StoreMetrics) snapshot() callCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.counts)
}

// callCounts are numbers of calls. They are logged as one object, sorted by label.
type callCounts map[callLabels]int64

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c callCounts) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	sorted := slices.SortedFunc(maps.Keys(c), func(a, b callLabels) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.table, b.table), cmp.Compare(a.result, b.result))
	})
	for _, labels := range sorted {
		encoder.AddInt64(string(labels.kind)+" "+labels.table+" "+labels.result, c[labels])
	}
	return nil
}

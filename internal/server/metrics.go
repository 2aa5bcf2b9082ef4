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

// StoreCalls counts the calls of the store, for the metrics listener and for
// the log of those who have only that.
type StoreCalls struct {
	durations *prometheus.HistogramVec
	mutex     sync.Mutex
	counts    map[callLabels]int64
}

// callLabels tell calls apart.
type callLabels struct {
	kind   state.CallKind
	table  string
	result string // status, or noAnswer
}

const noAnswer = "no answer"

// NewStoreCalls registers the metrics of store calls.
func NewStoreCalls(registry prometheus.Registerer) *StoreCalls {
	made := &StoreCalls{
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "thymeloft_store_call_seconds",
			Help:    "Time of calls to the store, by call, table and result.",
			Buckets: []float64{0.002, 0.004, 0.008, 0.016, 0.03, 0.06, 0.125, 0.25, 0.5, 1, 2},
		}, []string{"call", "table", "result"}),
		counts: map[callLabels]int64{},
	}
	registry.MustRegister(made.durations)
	return made
}

// Observe takes the end of one call in.
func (s *StoreCalls) Observe(call state.CallResult) {
	labels := callLabels{kind: call.Kind, table: call.Table, result: noAnswer}
	if call.Status != 0 {
		labels.result = strconv.Itoa(call.Status)
	}
	s.durations.WithLabelValues(string(labels.kind), labels.table, labels.result).Observe(call.Duration.Seconds())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[labels]++
}

// summaryPause is the time between two lines about all calls so far.
const summaryPause = 15 * time.Second

// Summarize writes how many calls of each kind there were, from time to time.
func (s *StoreCalls) Summarize(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(summaryPause)
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

func (s *StoreCalls) snapshot() callCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.counts)
}

// callCounts is written as one object, sorted by its labels.
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

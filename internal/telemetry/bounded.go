package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// NewBounded makes a logger that never blocks: lines go through a queue of
// bounded size, and what does not fit is counted. Lines below warning beyond
// perSecond are left out, so that failures keep their place; 0 is no bound.
// The returned function writes out what is queued.
func NewBounded(output io.Writer, perSecond int, registry prometheus.Registerer) (*zap.Logger, func()) {
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_log_lines_dropped_total", Help: "Log lines left out, by reason.",
	}, []string{"reason"})
	registry.MustRegister(dropped)
	queue := newQueue(output, dropped.WithLabelValues("output full"))
	configuration := zap.NewProductionEncoderConfig()
	configuration.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	configuration.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(configuration), queue, zap.InfoLevel)
	if perSecond > 0 {
		core = &limitedCore{Core: core, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), dropped: dropped.WithLabelValues("rate")}
	}
	return zap.New(core), queue.close
}

// limitedCore leaves out lines below warning beyond a rate.
type limitedCore struct {
	zapcore.Core
	limiter *rate.Limiter
	dropped prometheus.Counter
}

// With implements zapcore.Core.
func (l *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: l.Core.With(fields), limiter: l.limiter, dropped: l.dropped}
}

// Check implements zapcore.Core.
func (l *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Level < zapcore.WarnLevel && !l.limiter.Allow() {
		l.dropped.Inc()
		return checked
	}
	return l.Core.Check(entry, checked)
}

// queue hands lines to one writer; a full queue drops.
type queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped prometheus.Counter
	once    sync.Once
}

const queuedLines = 1024

func newQueue(output io.Writer, dropped prometheus.Counter) *queue {
	made := &queue{lines: make(chan []byte, queuedLines), done: make(chan struct{}), dropped: dropped}
	go made.run(output)
	return made
}

func (q *queue) run(output io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		_, _ = output.Write(line) // there is no other place to tell that lines can't be written
	}
}

// Write implements io.Writer; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case q.lines <- kept:
	default:
		q.dropped.Inc()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *queue) Sync() error { return nil }

// close waits for the queued lines, but not for an output that hangs.
func (q *queue) close() {
	const patience = 200 * time.Millisecond
	q.once.Do(func() {
		select {
		case q.lines <- nil:
		default:
			return
		}
		select {
		case <-q.done:
		case <-time.After(patience):
		}
	})
}

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

// NewBoundedLogger returns a JSON logger for level info and above that never blocks on the
// output. Lines wait in a queue of limited size; lines that do not fit are dropped.
// If perSecond is positive, lines below level warn beyond that rate are dropped too, so
// that they do not displace warnings and errors. Dropped lines are counted in the
// metric thymeloft_log_lines_dropped_total; NewBoundedLogger panics if it cannot be
// registered. The returned function waits at most 200 ms until the queued lines are
// written, and returns at once if the queue is full; lines logged after it are lost.
func NewBoundedLogger(output io.Writer, perSecond int, registry prometheus.Registerer) (*zap.Logger, func()) {
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "thymeloft_log_lines_dropped_total", Help: "Log lines that were dropped, by reason.",
	}, []string{"reason"})
	registry.MustRegister(dropped)
	queue := newQueue(output, dropped.WithLabelValues("output full"))
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), queue, zap.InfoLevel)
	if perSecond > 0 {
		core = &limitedCore{Core: core, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), dropped: dropped.WithLabelValues("rate")}
	}
	return zap.New(core), queue.close
}

// limitedCore drops lines below level warn that exceed the rate of its limiter.
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

// queue passes lines to a goroutine that writes them. It drops lines while it is full.
type queue struct {
	lines   chan []byte   // a nil line ends the goroutine
	done    chan struct{} // closed when the goroutine has ended
	dropped prometheus.Counter
	once    sync.Once
}

const maxQueuedLines = 1024

func newQueue(output io.Writer, dropped prometheus.Counter) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), dropped: dropped}
	go q.run(output)
	return q
}

func (q *queue) run(output io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		_, _ = output.Write(line) // the error cannot be logged, since the log itself cannot be written
	}
}

// Write implements io.Writer. It never blocks and always returns success.
func (q *queue) Write(line []byte) (int, error) {
	data := append([]byte(nil), line...)
	select {
	case q.lines <- data:
	default:
		q.dropped.Inc()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *queue) Sync() error { return nil }

// close ends the goroutine after the queued lines, and waits for it for at most
// closeTimeout. It gives up at once if the queue is full.
func (q *queue) close() {
	const closeTimeout = 200 * time.Millisecond
	q.once.Do(func() {
		select {
		case q.lines <- nil:
		default:
			return
		}
		select {
		case <-q.done:
		case <-time.After(closeTimeout):
		}
	})
}

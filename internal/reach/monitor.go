package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
)

const (
	// observeEvery is the time between two observations: an eighth of the silences that count.
	observeEvery = 50 * time.Millisecond
	// probeEvery and probeWait bound the questions to the store while other zones are silent.
	probeEvery = 150 * time.Millisecond
	probeWait  = 300 * time.Millisecond
	// soonestBack is the least time after which a refused caller comes back.
	soonestBack = 100 * time.Millisecond
	// backSpread spreads callers that were refused together, as a divisor of their time.
	backSpread = 4
)

// Options are what a Monitor is made of.
type Options struct {
	// Observe tells what is known now.
	Observe func() Observation
	// AskStore asks the store anything; its answer shows in the next observations.
	AskStore func(ctx context.Context)
	// Moved is how long it takes from the moment at which daemons say that they are not
	// ready until callers are sent to other zones.
	Moved time.Duration
	// OnChange, if given, hears each change of the verdict.
	OnChange func(cutOff bool)
	Now      func() time.Time
	Log      *zap.Logger
}

// Monitor observes all the while. It is safe for concurrent use; readers take no lock.
type Monitor struct {
	options Options
	judge   judge
	since   atomic.Int64 // unix nanoseconds since when this daemon is cut off; 0: it is not
	asking  sync.Mutex   // one question to the store at a time
	asked   time.Time
	spell   atomic.Pointer[connectedSpell]
}

// connectedSpell is a time in which this daemon is not cut off.
type connectedSpell struct {
	ctx context.Context
	end context.CancelFunc
}

// NewMonitor makes a monitor of a daemon that is not cut off.
func NewMonitor(options Options) *Monitor {
	made := &Monitor{options: options}
	made.spell.Store(newConnectedSpell())
	return made
}

func newConnectedSpell() *connectedSpell {
	ctx, end := context.WithCancel(context.Background())
	return &connectedSpell{ctx: ctx, end: end}
}

// Run observes until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for pause.For(ctx, observeEvery) {
		m.step(ctx)
	}
}

// step takes one observation in.
func (m *Monitor) step(ctx context.Context) {
	now, seen := m.options.Now(), m.options.Observe()
	cut := m.judge.observe(now, seen)
	if m.judge.suspects(now, seen) && now.Sub(m.asked) >= probeEvery {
		m.asked = now
		go m.askStore(ctx)
	}
	if cut == m.CutOff() {
		return
	}
	m.change(now, seen, cut)
}

func (m *Monitor) askStore(parent context.Context) {
	if !m.asking.TryLock() {
		return
	}
	defer m.asking.Unlock()
	ctx, cancel := context.WithTimeout(parent, probeWait)
	defer cancel()
	m.options.AskStore(ctx)
}

func (m *Monitor) change(now time.Time, seen Observation, cut bool) {
	if cut {
		m.since.Store(now.UnixNano())
		m.spell.Load().end()
		m.options.Log.Warn("reach: cut off from other zones and the store.",
			zap.Duration("outsideSilent", now.Sub(seen.OutsideHeard)), zap.Duration("storeSilent", now.Sub(seen.StoreHeard)))
	} else {
		lasted := now.Sub(time.Unix(0, m.since.Load()))
		m.since.Store(0)
		m.spell.Store(newConnectedSpell())
		m.options.Log.Info("reach: not cut off any more.", zap.Duration("after", lasted))
	}
	if m.options.OnChange != nil {
		m.options.OnChange(cut)
	}
}

// CutOff tells whether this daemon is cut off.
func (m *Monitor) CutOff() bool { return m != nil && m.since.Load() != 0 }

// Connected is a context that ends when this daemon is cut off.
func (m *Monitor) Connected() context.Context {
	if m == nil {
		return context.Background()
	}
	return m.spell.Load().ctx
}

// Back is when a caller that is refused is likely to reach a daemon of another zone:
// once callers are sent there, spread over a part of that time.
func (m *Monitor) Back() time.Duration {
	lasted := m.options.Now().Sub(time.Unix(0, m.since.Load()))
	back := max(m.options.Moved-lasted, soonestBack)
	return back + rand.N(back/backSpread)
}

// Measure shows the verdict as a metric.
func (m *Monitor) Measure(registerer prometheus.Registerer) error {
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_cut_off", Help: "1 while neither other zones nor the store are heard.",
	}, func() float64 {
		if m.CutOff() {
			return 1
		}
		return 0
	})
	return eris.Wrap(registerer.Register(gauge), "register metrics of reach")
}

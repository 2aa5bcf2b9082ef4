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
	// observeInterval is the time between two observations: an eighth of outsideTimeout and
	// storeTimeout.
	observeInterval = 50 * time.Millisecond
	// probeInterval is the minimum time between the starts of two probes of the store.
	probeInterval = 150 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// minRetryAfter is the minimum delay that RetryAfter returns, without the random part.
	minRetryAfter = 100 * time.Millisecond
	// retryJitterDivisor sets the random part that is added to a retry delay: it is less than the
	// delay divided by retryJitterDivisor.
	retryJitterDivisor = 4
)

// Options configure a Monitor.
type Options struct {
	// Observe returns the current observation.
	Observe func() Observation
	// ProbeStore sends a small request to the store. The next observations show whether the store
	// answered.
	ProbeStore func(ctx context.Context)
	// RerouteDelay is the time from when daemons report that they are not ready until callers are
	// routed to other zones.
	RerouteDelay time.Duration
	// OnChange is called after each change of CutOff, unless it is nil.
	OnChange func(cutOff bool)
	Now      func() time.Time
	Log      *zap.Logger
}

// Monitor watches whether this daemon is cut off. It is safe for concurrent use; CutOff, Connected
// and RetryAfter take no locks. CutOff and Connected may be called on a nil Monitor, which is never
// cut off.
type Monitor struct {
	options     Options
	detector    detector
	cutOffSince atomic.Int64 // in nanoseconds since the Unix epoch; 0 while not cut off
	probeMutex  sync.Mutex   // held during a probe: only one runs at a time
	lastProbe   time.Time
	connected   atomic.Pointer[connectedPeriod]
}

// connectedPeriod is a period in which this daemon is not cut off. Its context is canceled when the
// period ends.
type connectedPeriod struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// NewMonitor returns a monitor that is not cut off. Run must be called to observe.
func NewMonitor(options Options) *Monitor {
	monitor := &Monitor{options: options}
	monitor.connected.Store(newConnectedPeriod())
	return monitor
}

func newConnectedPeriod() *connectedPeriod {
	ctx, cancel := context.WithCancel(context.Background())
	return &connectedPeriod{ctx: ctx, cancel: cancel}
}

// Run takes an observation every observeInterval until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for pause.Sleep(ctx, observeInterval) {
		m.step(ctx)
	}
}

// step takes one observation, and starts a probe of the store if one is due.
func (m *Monitor) step(ctx context.Context) {
	now, observation := m.options.Now(), m.options.Observe()
	cutOff := m.detector.observe(now, observation)
	if m.detector.shouldProbeStore(now, observation) && now.Sub(m.lastProbe) >= probeInterval {
		m.lastProbe = now
		go m.probeStore(ctx)
	}
	if cutOff == m.CutOff() {
		return
	}
	m.setCutOff(now, observation, cutOff)
}

// probeStore sends a request to the store, unless another probe is running.
func (m *Monitor) probeStore(parent context.Context) {
	if !m.probeMutex.TryLock() {
		return
	}
	defer m.probeMutex.Unlock()
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	m.options.ProbeStore(ctx)
}

func (m *Monitor) setCutOff(now time.Time, observation Observation, cutOff bool) {
	if cutOff {
		m.cutOffSince.Store(now.UnixNano())
		m.connected.Load().cancel()
		m.options.Log.Warn("reach: cut off from other zones and the store.",
			zap.Duration("outsideSilent", now.Sub(observation.LastOutsideContact)), zap.Duration("storeSilent", now.Sub(observation.LastStoreAnswer)))
	} else {
		lasted := now.Sub(time.Unix(0, m.cutOffSince.Load()))
		m.cutOffSince.Store(0)
		m.connected.Store(newConnectedPeriod())
		m.options.Log.Info("reach: no longer cut off.", zap.Duration("after", lasted))
	}
	if m.options.OnChange != nil {
		m.options.OnChange(cutOff)
	}
}

// CutOff reports whether this daemon is cut off.
func (m *Monitor) CutOff() bool { return m != nil && m.cutOffSince.Load() != 0 }

// Connected returns a context that is canceled when this daemon is next cut off. While it is cut
// off the context is already canceled.
func (m *Monitor) Connected() context.Context {
	if m == nil {
		return context.Background()
	}
	return m.connected.Load().ctx
}

// RetryAfter returns the delay after which a refused caller is likely to reach a daemon of another
// zone: the remaining part of Options.RerouteDelay but at least minRetryAfter, plus a random part
// so that callers don't all retry at once.
func (m *Monitor) RetryAfter() time.Duration {
	lasted := m.options.Now().Sub(time.Unix(0, m.cutOffSince.Load()))
	delay := max(m.options.RerouteDelay-lasted, minRetryAfter)
	return delay + rand.N(delay/retryJitterDivisor)
}

// RegisterMetrics registers a metric that shows whether this daemon is cut off.
func (m *Monitor) RegisterMetrics(registerer prometheus.Registerer) error {
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "thymeloft_cut_off", Help: "1 while neither other zones nor the store can be reached, otherwise 0.",
	}, func() float64 {
		if m.CutOff() {
			return 1
		}
		return 0
	})
	return eris.Wrap(registerer.Register(gauge), "register reach metrics")
}

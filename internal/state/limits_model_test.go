package state

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// The model simulates daemons that call one store, with or without the limits of this package,
// in simulated time. The load is that of a large site: the store accepts 1,500 writes and 6,000
// reads per second from all daemons. The normal load is three fifths of the writes and three
// tenths of the reads.
const (
	modelTick        = 5 * time.Millisecond
	modelAnswerTime  = 10 * time.Millisecond // time until the store answers
	modelCallTimeout = time.Second           // time after which an unanswered call fails
	modelWriteRate   = 1500.0                // writes per second of all daemons
	modelReadRate    = 6000.0                // reads per second of all daemons
	// modelBurstTime is the time for which the store's unused rate accumulates.
	modelBurstTime        = 250 * time.Millisecond
	modelPartitions       = 256
	modelPartitionRate    = 300         // commits per second in one partition
	modelMaxPartitionWait = time.Second // commits that would wait longer for their partition are refused
)

// modelStrategy is the way in which daemons limit their calls.
type modelStrategy string

const (
	strategyNone            modelStrategy = "no limiter"
	strategyFixed           modelStrategy = "equal shares"
	strategyAdaptive        modelStrategy = "adaptive, no minimum rate"
	strategyAdaptiveMinRate modelStrategy = "adaptive, with a minimum rate"
	strategyBatching        modelStrategy = "adaptive, with a minimum rate and batches"
	strategyRetryBudget     modelStrategy = "retry budget alone"
)

// modelCall is a call that a daemon makes.
type modelCall struct {
	class     Class
	kind      CallKind
	partition int
	arrived   time.Duration
	deadline  time.Duration
	attempts  int
	done      bool
	daemon    *modelDaemon
	batched   []*modelCall // turn commits that are sent in the same call
}

// modelClass describes the calls of one class in the load.
type modelClass struct {
	class   Class
	kind    CallKind
	share   float64 // part of the calls of its kind
	timeout time.Duration
}

// modelClasses are the calls of all daemons together.
var modelClasses = []modelClass{
	{ClassLease, CallCommit, 0.03, 2 * time.Second},
	{ClassTurn, CallCommit, 0.45, 1750 * time.Millisecond},
	{ClassReservation, CallCommit, 0.32, 1350 * time.Millisecond},
	{ClassSettlement, CallCommit, 0.15, 3 * time.Second},
	{ClassSweep, CallCommit, 0.05, 3 * time.Second},
	{ClassRead, CallRead, 0.8, 1350 * time.Millisecond},
	{ClassFollow, CallRead, 0.2, 2 * time.Second},
}

// modelDaemon is a daemon with its limits.
type modelDaemon struct {
	weight       float64 // load relative to the average daemon
	writes       *callQueue
	reads        *callQueue
	room         *SpaceTracker
	budget       retryBudget
	believesDown bool // the daemon considers the store down
	pendingTurns map[*waiter]*modelCall
	waiting      []*modelCall
}

// modelEvent is a function to run at a simulated time.
type modelEvent struct {
	at  time.Duration
	run func()
}

// modelEvents implements heap.Interface, ordered by time.
type modelEvents []modelEvent

func (m modelEvents) Len() int           { return len(m) }
func (m modelEvents) Less(a, b int) bool { return m[a].at < m[b].at }
func (m modelEvents) Swap(a, b int)      { m[a], m[b] = m[b], m[a] }
func (m *modelEvents) Push(event any)    { *m = append(*m, event.(modelEvent)) }
func (m *modelEvents) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// modelFault is a disturbance and the time that it lasts.
type modelFault struct {
	from, to     time.Duration
	loadFactor   float64 // load during the fault, as a multiple of the normal load; 0: no load spike
	full         bool    // the store refuses all writes because it is full
	silent       bool    // the store does not answer
	isFleetStart bool    // all daemons start when the fault begins, and make their first calls
}

// model is the state of one simulation.
type model struct {
	strategy           modelStrategy
	fault              modelFault
	normalLoadFactor   float64 // load outside the fault, as a multiple of the normal load
	random             *rand.Rand
	now                time.Duration
	events             modelEvents
	daemons            []*modelDaemon
	tokens             map[CallKind]float64           // calls that the store accepts now
	partitionBusyUntil [modelPartitions]time.Duration // time at which each partition has finished its commits

	offered, served                          map[int]int // calls offered and served, by the second in which they arrived
	callsOutsideFault, throttledOutsideFault int         // number of calls while the fault is not active
	totalCalls                               int
}

// newModel returns a simulation with the given number of daemons.
func newModel(strategy modelStrategy, daemons int, normalLoadFactor float64, fault modelFault) *model {
	created := &model{
		strategy: strategy, fault: fault, normalLoadFactor: normalLoadFactor, random: rand.New(rand.NewPCG(7, uint64(daemons))),
		tokens:  map[CallKind]float64{CallCommit: modelWriteRate * modelBurstTime.Seconds(), CallRead: modelReadRate * modelBurstTime.Seconds()},
		offered: map[int]int{}, served: map[int]int{},
	}
	for number := range daemons {
		// Every fourth daemon has 2.5 times the load of each of the others.
		weight := 1 / 1.375
		if number%4 == 0 {
			weight = 2.5 / 1.375
		}
		created.daemons = append(created.daemons, created.newDaemon(weight, daemons))
	}
	return created
}

// currentTime returns the simulated time.
func (m *model) currentTime() time.Time { return time.Unix(1000, 0).Add(m.now) }

// newDaemon returns a daemon with the limits of the model's strategy.
func (m *model) newDaemon(weight float64, daemons int) *modelDaemon {
	daemon := &modelDaemon{weight: weight, room: NewSpaceTracker(SpaceTrackerOptions{Now: m.currentTime}), pendingTurns: map[*waiter]*modelCall{}}
	// The buckets start at the rate of a daemon that knows no other daemons yet.
	daemon.writes = &callQueue{bucket: m.newBucket(CallCommit, modelWriteRate, daemons)}
	daemon.reads = &callQueue{bucket: m.newBucket(CallRead, modelReadRate, daemons)}
	return daemon
}

// newBucket returns a token bucket with the bounds of the model's strategy.
func (m *model) newBucket(kind CallKind, declaredRate float64, daemons int) *adaptiveBucket {
	bucket := newBucketFor(kind, declaredRate, 0, m.currentTime())
	bucket.minRate = guaranteedRate(declaredRate, daemons)
	switch m.strategy {
	case strategyFixed:
		bucket.maxRate = bucket.minRate
	case strategyAdaptive:
		bucket.minRate = 1
	}
	return bucket
}

// schedule runs a function after a delay of simulated time.
func (m *model) schedule(delay time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{m.now + delay, run})
}

// run simulates in steps of modelTick until the given time.
func (m *model) run(until time.Duration) {
	if m.fault.isFleetStart {
		m.schedule(m.fault.from, m.startFleet)
	}
	for ; m.now < until; m.now += modelTick {
		for kind, rate := range map[CallKind]float64{CallCommit: modelWriteRate, CallRead: modelReadRate} {
			m.tokens[kind] = min(m.tokens[kind]+rate*modelTick.Seconds(), rate*modelBurstTime.Seconds())
		}
		for len(m.events) > 0 && m.events[0].at <= m.now {
			heap.Pop(&m.events).(modelEvent).run()
		}
		for _, daemon := range m.daemons {
			m.offerLoad(daemon)
			daemon.writes.grantDue(m.currentTime())
			daemon.reads.grantDue(m.currentTime())
		}
	}
}

// startFleet makes the calls that each daemon makes when it starts.
func (m *model) startFleet() {
	const writesAtStart, readsAtStart = 3, 12
	for _, daemon := range m.daemons {
		for range writesAtStart {
			m.begin(&modelCall{class: ClassLease, kind: CallCommit, deadline: m.now + 3*time.Second}, daemon)
		}
		for range readsAtStart {
			m.begin(&modelCall{class: ClassFollow, kind: CallRead, deadline: m.now + 3*time.Second}, daemon)
		}
	}
}

// isFaultActive reports whether the fault disturbs the store or the load now.
func (m *model) isFaultActive() bool { return m.now >= m.fault.from && m.now < m.fault.to }

// offerLoad begins the daemon's calls of one step.
func (m *model) offerLoad(daemon *modelDaemon) {
	const normalWriteRate, normalReadRate = 0.6 * modelWriteRate, 0.3 * modelReadRate
	loadFactor := m.normalLoadFactor
	if m.fault.loadFactor > 0 && m.isFaultActive() {
		loadFactor = m.fault.loadFactor
	}
	for _, class := range modelClasses {
		normalRate := normalWriteRate
		if class.kind == CallRead {
			normalRate = normalReadRate
		}
		mean := loadFactor * normalRate * class.share * daemon.weight / float64(len(m.daemons)) * modelTick.Seconds()
		for range m.poisson(mean) {
			m.begin(&modelCall{class: class.class, kind: class.kind, deadline: m.now + class.timeout}, daemon)
		}
	}
}

// poisson returns a random number with a Poisson distribution.
func (m *model) poisson(mean float64) int {
	count, product, limit := 0, m.random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= m.random.Float64()
	}
	return count
}

// begin starts a new call of the daemon in a random partition.
func (m *model) begin(call *modelCall, daemon *modelDaemon) {
	call.daemon, call.arrived, call.partition = daemon, m.now, m.random.IntN(modelPartitions)
	m.offered[int(m.now/time.Second)]++
	daemon.budget.recordCall()
	m.attempt(call)
}

// attempt sends a call as soon as the limits of its daemon allow it.
func (m *model) attempt(call *modelCall) {
	daemon := call.daemon
	switch {
	case m.now >= call.deadline:
		return
	case daemon.believesDown:
		daemon.waiting = append(daemon.waiting, call)
		return
	case call.kind == CallCommit && !m.maySendWrite(call):
		return
	case m.strategy == strategyNone || m.strategy == strategyRetryBudget:
		m.send(call)
		return
	}
	queue := daemon.reads
	if call.kind == CallCommit {
		queue = daemon.writes
	}
	w := &waiter{class: call.class, deadline: time.Unix(1000, 0).Add(call.deadline)}
	w.notify = func(granted bool) {
		delete(daemon.pendingTurns, w)
		if !granted {
			m.retry(call)
			return
		}
		if m.strategy == strategyBatching && call.class == ClassTurn {
			m.batchPendingTurns(call)
		}
		m.send(call)
	}
	if call.class == ClassTurn {
		daemon.pendingTurns[w] = call
	}
	queue.enqueue(m.currentTime(), w)
}

// batchPendingTurns moves the turn commits that wait at the daemon into the call.
func (m *model) batchPendingTurns(call *modelCall) {
	queue := call.daemon.writes
	rank := ClassTurn.rank()
	pendingTurns := queue.waiting[rank]
	count := min(len(pendingTurns), maxBatchRows-1)
	for _, pending := range pendingTurns[:count] {
		call.batched = append(call.batched, call.daemon.pendingTurns[pending])
		delete(call.daemon.pendingTurns, pending)
	}
	queue.waiting[rank] = pendingTurns[count:]
}

// goodput returns the part of the calls begun between two times that were answered before their
// deadlines.
func (m *model) goodput(from, to time.Duration) float64 {
	offered, served := 0, 0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		offered += m.offered[second]
		served += m.served[second]
	}
	return float64(served) / float64(offered)
}

// throttledShare returns the part of the calls outside the fault that were throttled.
func (m *model) throttledShare() float64 {
	return float64(m.throttledOutsideFault) / float64(m.callsOutsideFault)
}

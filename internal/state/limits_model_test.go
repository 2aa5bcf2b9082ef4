package state

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// The model: daemons with the limits of this package, or without them, call one store in
// simulated time. It is the load of a large site: of all daemons 1,500 writing and 6,000
// reading calls a second are taken; in calm three fifths and three tenths are offered.

const (
	modelTick    = 5 * time.Millisecond
	modelAnswer  = 10 * time.Millisecond // until the store answers
	modelSilence = time.Second           // after which a call is given up
	modelWrites  = 1500.0
	modelReads   = 6000.0
	// modelDepth is the time for which the store lets its rate be saved up.
	modelDepth      = 250 * time.Millisecond
	modelPartitions = 256
	modelPartRate   = 300
	modelPartWait   = time.Second // waiting in a partition beyond it is refused
)

// modelWay is how daemons keep to the store's rate.
type modelWay string

const (
	wayNone        modelWay = "no limiter"
	wayFixed       modelWay = "equal parts"
	wayAdapts      modelWay = "adapts, no floor"
	wayAdaptsFloor modelWay = "adapts, with a floor"
	wayGroups      modelWay = "adapts, with a floor and groups"
	wayRetryBudget modelWay = "retry budget alone"
)

// modelCall is what a daemon wants of the store.
type modelCall struct {
	class    Class
	kind     CallKind
	part     int
	arrived  time.Duration
	deadline time.Duration
	tries    int
	done     bool
	daemon   *modelDaemon
	along    []*modelCall // ends of turns that go in the same call
}

// modelClass is a part of the offered load.
type modelClass struct {
	class    Class
	kind     CallKind
	share    float64 // of the calls of its kind
	patience time.Duration
}

var modelClasses = []modelClass{
	{ClassLease, CallCommit, 0.03, 2 * time.Second},
	{ClassTurn, CallCommit, 0.45, 1750 * time.Millisecond},
	{ClassReservation, CallCommit, 0.32, 1350 * time.Millisecond},
	{ClassSettlement, CallCommit, 0.15, 3 * time.Second},
	{ClassSweep, CallCommit, 0.05, 3 * time.Second},
	{ClassRead, CallRead, 0.8, 1350 * time.Millisecond},
	{ClassFollow, CallRead, 0.2, 2 * time.Second},
}

// modelDaemon is one daemon's limits.
type modelDaemon struct {
	weight  float64 // of its load; 1 on average
	writes  *lane
	reads   *lane
	room    *Room
	budget  retryBudget
	down    bool // believed so
	turns   map[*ticket]*modelCall
	waiting []*modelCall
}

// modelEvent is something due.
type modelEvent struct {
	at time.Duration
	do func()
}

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

// modelFault is a cause and its time.
type modelFault struct {
	from, to time.Duration
	pulse    float64 // times the usual load
	full     bool
	silent   bool
	started  bool // all daemons start at from, with calls that each makes at its start
}

// model is one run.
type model struct {
	way     modelWay
	fault   modelFault
	load    float64 // of the usual
	random  *rand.Rand
	now     time.Duration
	events  modelEvents
	daemons []*modelDaemon
	tokens  map[CallKind]float64
	parts   [modelPartitions]time.Duration // busy until

	offered, served  map[int]int // by the second of arrival
	calls, throttled int         // outside the cause
	all              int
}

func newModel(way modelWay, daemons int, load float64, fault modelFault) *model {
	made := &model{
		way: way, fault: fault, load: load, random: rand.New(rand.NewPCG(7, uint64(daemons))),
		tokens:  map[CallKind]float64{CallCommit: modelWrites * modelDepth.Seconds(), CallRead: modelReads * modelDepth.Seconds()},
		offered: map[int]int{}, served: map[int]int{},
	}
	for number := range daemons {
		// Every fourth daemon has two and a half times the load of each of the others.
		weight := 1 / 1.375
		if number%4 == 0 {
			weight = 2.5 / 1.375
		}
		made.daemons = append(made.daemons, made.daemon(weight, daemons))
	}
	return made
}

func (m *model) time() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) daemon(weight float64, daemons int) *modelDaemon {
	made := &modelDaemon{weight: weight, room: NewRoom(RoomOptions{Now: m.time}), turns: map[*ticket]*modelCall{}}
	// A daemon that has just started knows of nobody.
	made.writes = &lane{pace: m.pace(CallCommit, modelWrites, daemons)}
	made.reads = &lane{pace: m.pace(CallRead, modelReads, daemons)}
	return made
}

func (m *model) pace(kind CallKind, declared float64, daemons int) *pace {
	made := paceOf(kind, declared, 0, m.time())
	made.floor = floorOf(declared, daemons)
	switch m.way {
	case wayFixed:
		made.bound = made.floor
	case wayAdapts:
		made.floor = 1
	}
	return made
}

func (m *model) after(span time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + span, do})
}

// run lets the time pass.
func (m *model) run(until time.Duration) {
	if m.fault.started {
		m.after(m.fault.from, m.start)
	}
	for ; m.now < until; m.now += modelTick {
		for kind, rate := range map[CallKind]float64{CallCommit: modelWrites, CallRead: modelReads} {
			m.tokens[kind] = min(m.tokens[kind]+rate*modelTick.Seconds(), rate*modelDepth.Seconds())
		}
		for len(m.events) > 0 && m.events[0].at <= m.now {
			heap.Pop(&m.events).(modelEvent).do()
		}
		for _, daemon := range m.daemons {
			m.offer(daemon)
			daemon.writes.advance(m.time())
			daemon.reads.advance(m.time())
		}
	}
}

// start makes each daemon call as it does when it starts.
func (m *model) start() {
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

func (m *model) inCause() bool { return m.now >= m.fault.from && m.now < m.fault.to }

// offer makes the load of one tick.
func (m *model) offer(daemon *modelDaemon) {
	const usualWrites, usualReads = 0.6 * modelWrites, 0.3 * modelReads
	times := m.load
	if m.fault.pulse > 0 && m.inCause() {
		times = m.fault.pulse
	}
	for _, class := range modelClasses {
		usual := usualWrites
		if class.kind == CallRead {
			usual = usualReads
		}
		mean := times * usual * class.share * daemon.weight / float64(len(m.daemons)) * modelTick.Seconds()
		for range m.poisson(mean) {
			m.begin(&modelCall{class: class.class, kind: class.kind, deadline: m.now + class.patience}, daemon)
		}
	}
}

func (m *model) poisson(mean float64) int {
	count, product, limit := 0, m.random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= m.random.Float64()
	}
	return count
}

func (m *model) begin(call *modelCall, daemon *modelDaemon) {
	call.daemon, call.arrived, call.part = daemon, m.now, m.random.IntN(modelPartitions)
	m.offered[int(m.now/time.Second)]++
	daemon.budget.call()
	m.try(call)
}

// try sends a call as soon as its daemon's limits let it.
func (m *model) try(call *modelCall) {
	daemon := call.daemon
	switch {
	case m.now >= call.deadline:
		return
	case daemon.down:
		daemon.waiting = append(daemon.waiting, call)
		return
	case call.kind == CallCommit && !m.mayWrite(call):
		return
	case m.way == wayNone || m.way == wayRetryBudget:
		m.send(call)
		return
	}
	line := daemon.reads
	if call.kind == CallCommit {
		line = daemon.writes
	}
	waits := &ticket{class: call.class, deadline: time.Unix(1000, 0).Add(call.deadline)}
	waits.tell = func(granted bool) {
		delete(daemon.turns, waits)
		if !granted {
			m.again(call)
			return
		}
		if m.way == wayGroups && call.class == ClassTurn {
			m.takeAlong(call)
		}
		m.send(call)
	}
	if call.class == ClassTurn {
		daemon.turns[waits] = call
	}
	line.arrive(m.time(), waits)
}

// takeAlong has the ends of turns that wait at the daemon go in the same call.
func (m *model) takeAlong(call *modelCall) {
	line := call.daemon.writes
	rank := ClassTurn.rank()
	waiting := line.waiting[rank]
	count := min(len(waiting), mostGroupRows-1)
	for _, each := range waiting[:count] {
		call.along = append(call.along, call.daemon.turns[each])
		delete(call.daemon.turns, each)
	}
	line.waiting[rank] = waiting[count:]
}

// goodput is the share of what was offered in the seconds that was served in its time.
func (m *model) goodput(from, to time.Duration) float64 {
	offered, served := 0, 0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		offered += m.offered[second]
		served += m.served[second]
	}
	return float64(served) / float64(offered)
}

// refusals is the share of the calls outside the cause that were refused for the rate.
func (m *model) refusals() float64 { return float64(m.throttled) / float64(m.calls) }

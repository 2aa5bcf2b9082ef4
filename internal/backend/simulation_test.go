package backend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// Parameters of the simulation. Many daemons share few engines, so that a daemon gets less than
// one answer per second from each engine.
const (
	simulatedDaemons = 84
	simulatedSlots   = 8
	eventsPerTurn    = 7
	reportInterval   = 100 * time.Millisecond
	idleEventTime    = 40 * time.Millisecond // at speed 1
	firstEventDelay  = 12 * time.Millisecond // in addition to reading the prompt
	fullSlowdown     = 0.17                  // how much longer an event takes in a full batch, as a fraction
	readTokensPerMs  = 328.0
	tokensPerTurn    = 1680 // added to the prompt by each turn
	turnsPerProgram  = 5
	warmup           = 4 * time.Second // excluded from the measurements
	simulationLength = 14 * time.Second
)

// simulatedEngine is an engine with slots, a queue and a speed that may change.
type simulatedEngine struct {
	id          string
	speed       func(at time.Duration) float64
	running     int
	queue       []*simulatedTurn
	cachedTurns map[int]int // number of turns whose prompt is cached, by program
	events      float64     // produced after the warmup
}

// simulatedTurn is a turn being processed.
type simulatedTurn struct {
	program, number int
	daemon          int
	engine          int
	arrived         time.Duration
	firstEvent      time.Duration
	eventsDone      int
	endRequest      func()
	expectedLoad    int
}

// simulation runs turns on engines in simulated time, with seeded randomness.
type simulation struct {
	now            time.Duration
	random         *rand.Rand
	engines        []*simulatedEngine
	daemons        []*Fleet
	off            mechanism.Disabled
	tasks          taskQueue
	turnTimes      []time.Duration
	lastEngine     map[int]int // index of the engine of the previous turn, by program
	programs       int
	reportedCounts []load.Counts // reports of the last interval, by daemon
	reportedSpeeds []load.EngineWork
	chooseOptimal  bool // place by the true state of all engines, which no daemon knows
}

// task is a function to run at a point in simulated time.
type task struct {
	at       time.Duration
	sequence int
	run      func()
}

type taskQueue struct {
	entries  []task
	sequence int
}

func (q *taskQueue) Len() int { return len(q.entries) }
func (q *taskQueue) Less(i, j int) bool {
	if q.entries[i].at != q.entries[j].at {
		return q.entries[i].at < q.entries[j].at
	}
	return q.entries[i].sequence < q.entries[j].sequence
}
func (q *taskQueue) Swap(i, j int) { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }
func (q *taskQueue) Push(x any)    { q.entries = append(q.entries, x.(task)) }
func (q *taskQueue) Pop() any {
	last := q.entries[len(q.entries)-1]
	q.entries = q.entries[:len(q.entries)-1]
	return last
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.tasks.sequence++
	heap.Push(&s.tasks, task{at: s.now + delay, sequence: s.tasks.sequence, run: run})
}

func newSimulation(seed uint64, speeds []func(time.Duration) float64) *simulation {
	result := &simulation{random: rand.New(rand.NewPCG(seed, 1)), lastEngine: map[int]int{}} //nolint:gosec // repeatable
	for index, speed := range speeds {
		result.engines = append(result.engines, &simulatedEngine{id: fmt.Sprintf("e%02d", index), speed: speed, cachedTurns: map[int]int{}})
	}
	for range simulatedDaemons {
		fleet := NewFleet(func() time.Time { return start.Add(result.now) })
		for _, engine := range result.engines {
			fleet.Apply(Declaration{ID: engine.id, Service: "s", Address: engine.id + ":1", Slots: simulatedSlots, Version: 1})
		}
		result.daemons = append(result.daemons, fleet)
	}
	return result
}

// run starts programs at the given rate until the simulation ends.
func (s *simulation) run(programsPerSecond float64) {
	var arrive func()
	arrive = func() {
		s.programs++
		s.startTurn(s.programs, 0)
		s.schedule(time.Duration(s.random.ExpFloat64()/programsPerSecond*float64(time.Second)), arrive)
	}
	s.schedule(0, arrive)
	if !s.chooseOptimal {
		s.schedule(reportInterval, s.exchangeReports)
	}
	for s.tasks.Len() > 0 && s.now < simulationLength {
		next := heap.Pop(&s.tasks).(task)
		s.now = next.at
		next.run()
	}
}

// exchangeReports gives all daemons the reports of the previous interval and collects new ones.
func (s *simulation) exchangeReports() {
	all, speeds := load.Counts{}, load.EngineWork{}
	for index := range s.reportedCounts {
		for key, count := range s.reportedCounts[index] {
			all[key] += count
		}
		for key, work := range s.reportedSpeeds[index] {
			speeds[key] = speeds[key].Add(work)
		}
	}
	for index := range s.reportedCounts {
		s.daemons[index].UpdateCounts(all, s.reportedCounts[index])
		if len(speeds) > 0 {
			s.daemons[index].UpdateWork(speeds, s.reportedSpeeds[index])
		}
	}
	s.reportedCounts, s.reportedSpeeds = nil, nil
	for _, daemon := range s.daemons {
		s.reportedCounts = append(s.reportedCounts, daemon.InFlightCounts())
		s.reportedSpeeds = append(s.reportedSpeeds, s.daemonSpeeds(daemon))
	}
	s.schedule(reportInterval, s.exchangeReports)
}

// daemonSpeeds returns the speeds that a daemon reports, or nil if learning of speeds is
// disabled.
func (s *simulation) daemonSpeeds(daemon *Fleet) load.EngineWork {
	if s.off.Has(mechanism.EngineSpeeds) {
		return nil
	}
	return daemon.ObservedWork()
}

// startTurn places a turn of a program through a random daemon.
func (s *simulation) startTurn(program, number int) {
	turn := &simulatedTurn{program: program, number: number, daemon: s.random.IntN(simulatedDaemons), arrived: s.now}
	fleet := s.daemons[turn.daemon]
	chosen := s.choose(turn, fleet)
	turn.engine = slices.IndexFunc(s.engines, func(engine *simulatedEngine) bool { return engine.id == chosen.ID })
	turn.expectedLoad = chosen.Load(fleet.now())
	turn.endRequest = chosen.BeginRequest()
	s.lastEngine[program] = turn.engine
	engine := s.engines[turn.engine]
	if engine.running >= simulatedSlots {
		engine.queue = append(engine.queue, turn)
		return
	}
	s.runTurn(turn)
}

func (s *simulation) choose(turn *simulatedTurn, fleet *Fleet) *Instance {
	instances := fleet.Instances("s")
	if s.chooseOptimal {
		return s.optimalInstance(turn, instances)
	}
	request := &PlacementRequest{Affinity: fmt.Sprint(turn.program), Seed: uint64(turn.daemon), Now: fleet.now(), DisabledMechanisms: s.off}
	for part := range turn.number + 1 {
		request.Prefix = append(request.Prefix, PromptPart{Name: fmt.Sprint(turn.program, "/", part), Tokens: tokensPerTurn})
	}
	if engine, found := s.lastEngine[turn.program]; found { // in production, the daemon that holds the program's budget reports this
		for _, instance := range instances {
			if instance.ID == s.engines[engine].id {
				instance.RecordPrefix(request.Prefix[:turn.number])
			}
		}
	}
	return Choose(instances, request)
}

// optimalInstance returns the instance at which the turn would finish first, estimated from the
// true state of all engines.
func (s *simulation) optimalInstance(turn *simulatedTurn, instances []*Instance) *Instance {
	finishTime := func(engine *simulatedEngine) time.Duration {
		turnTime := s.eventTime(engine, 1) * eventsPerTurn
		queued := max(engine.running+len(engine.queue)+1-simulatedSlots, 0)
		return s.readTime(engine, turn) + turnTime + turnTime*time.Duration(queued)/simulatedSlots
	}
	first := slices.MinFunc(s.engines, func(a, b *simulatedEngine) int { return int(finishTime(a) - finishTime(b)) })
	return instances[slices.IndexFunc(instances, func(instance *Instance) bool { return instance.ID == first.id })]
}

func (s *simulation) eventTime(engine *simulatedEngine, added int) time.Duration {
	share := min(float64(engine.running+added)/simulatedSlots, 1)
	return time.Duration(float64(idleEventTime) * (1 + fullSlowdown*share) / engine.speed(s.now))
}

func (s *simulation) readTime(engine *simulatedEngine, turn *simulatedTurn) time.Duration {
	tokens := float64(turn.number+1-engine.cachedTurns[turn.program]) * tokensPerTurn
	return time.Duration(tokens / readTokensPerMs * float64(time.Millisecond) / engine.speed(s.now))
}

// runTurn reads the prompt and then produces the events one by one.
func (s *simulation) runTurn(turn *simulatedTurn) {
	engine := s.engines[turn.engine]
	engine.running++
	wait := firstEventDelay + s.readTime(engine, turn)
	engine.cachedTurns[turn.program] = turn.number + 1
	var event func()
	event = func() {
		if turn.eventsDone++; turn.eventsDone == 1 {
			turn.firstEvent = s.now
		}
		if s.now > warmup {
			engine.events++
		}
		if turn.eventsDone == eventsPerTurn {
			s.finish(turn)
			return
		}
		s.schedule(s.eventTime(engine, 0), event)
	}
	s.schedule(wait+s.eventTime(engine, 0), event)
}

func (s *simulation) finish(turn *simulatedTurn) {
	engine := s.engines[turn.engine]
	engine.running--
	turn.endRequest()
	s.observe(turn)
	if turn.arrived > warmup {
		s.turnTimes = append(s.turnTimes, s.now-turn.arrived)
	}
	if len(engine.queue) > 0 {
		next := engine.queue[0]
		engine.queue = engine.queue[1:]
		s.runTurn(next)
	}
	if turn.number+1 < turnsPerProgram {
		s.schedule(reportInterval, func() { s.startTurn(turn.program, turn.number+1) })
	}
}

// observe records the outcome of the turn at its daemon.
func (s *simulation) observe(turn *simulatedTurn) {
	fleet := s.daemons[turn.daemon]
	for _, instance := range fleet.Instances("s") {
		if instance.ID == s.engines[turn.engine].id {
			instance.RecordOutcome(Outcome{
				TimeToFirstByte: turn.firstEvent - turn.arrived, EventInterval: (s.now - turn.firstEvent) / (eventsPerTurn - 1),
				EventsAfterFirst: eventsPerTurn - 1, Load: turn.expectedLoad, Slots: simulatedSlots,
			}, fleet.now())
		}
	}
}

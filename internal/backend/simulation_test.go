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

// The work of the simulation: many daemons before few engines, so that one daemon sees
// less than one answer of an engine a second.
const (
	simulatedDaemons = 84
	simulatedSlots   = 8
	simulatedEvents  = 7
	pictureInterval  = 100 * time.Millisecond
	idleEvent        = 40 * time.Millisecond // of an engine of speed 1
	idleFirst        = 12 * time.Millisecond // before the first event
	fullSlowdown     = 0.17                  // of an event in a full batch
	readPerMs        = 328.0                 // tokens
	ownTokens        = 1680                  // that a turn adds to its prompt
	turnsEach        = 5                     // of a program
	settling         = 4 * time.Second       // not counted
	simulated        = 14 * time.Second
)

// simulatedEngine is an engine with slots, a queue and a speed that may change.
type simulatedEngine struct {
	id      string
	speed   func(at time.Duration) float64
	running int
	queue   []*simulatedTurn
	kept    map[int]int // turns read, by program
	work    float64     // events made, from settling on
}

// simulatedTurn is one turn under way.
type simulatedTurn struct {
	program, number int
	daemon          int
	engine          int
	arrived         time.Duration
	firstEvent      time.Duration
	made            int
	end             func()
	believed        int
}

// simulation runs turns on engines. Time is its own, and chance comes from a seed.
type simulation struct {
	now      time.Duration
	random   *rand.Rand
	engines  []*simulatedEngine
	daemons  []*Fleet
	off      mechanism.Off
	agenda   agenda
	took     []time.Duration
	last     map[int]int // engine of a program's last turn
	programs int
	counts   []load.Counts // told at the last tick, by daemon
	speeds   []load.Speeds
	pickBest bool // by what nobody can know: the state of each engine now
}

// happening is what is to be done at a moment.
type happening struct {
	at    time.Duration
	order int
	do    func()
}

type agenda struct {
	entries []happening
	added   int
}

func (a *agenda) Len() int { return len(a.entries) }
func (a *agenda) Less(i, j int) bool {
	if a.entries[i].at != a.entries[j].at {
		return a.entries[i].at < a.entries[j].at
	}
	return a.entries[i].order < a.entries[j].order
}
func (a *agenda) Swap(i, j int) { a.entries[i], a.entries[j] = a.entries[j], a.entries[i] }
func (a *agenda) Push(x any)    { a.entries = append(a.entries, x.(happening)) }
func (a *agenda) Pop() any {
	last := a.entries[len(a.entries)-1]
	a.entries = a.entries[:len(a.entries)-1]
	return last
}

func (s *simulation) after(wait time.Duration, do func()) {
	s.agenda.added++
	heap.Push(&s.agenda, happening{at: s.now + wait, order: s.agenda.added, do: do})
}

func newSimulation(seed uint64, speeds []func(time.Duration) float64) *simulation {
	made := &simulation{random: rand.New(rand.NewPCG(seed, 1)), last: map[int]int{}} //nolint:gosec // repeatable
	for number, speed := range speeds {
		made.engines = append(made.engines, &simulatedEngine{id: fmt.Sprintf("e%02d", number), speed: speed, kept: map[int]int{}})
	}
	for range simulatedDaemons {
		fleet := NewFleet(func() time.Time { return start.Add(made.now) })
		for _, engine := range made.engines {
			fleet.Apply(Declaration{ID: engine.id, Service: "s", Address: engine.id + ":1", Slots: simulatedSlots, Version: 1})
		}
		made.daemons = append(made.daemons, fleet)
	}
	return made
}

// run begins so many programs a second.
func (s *simulation) run(programsEach float64) {
	var arrive func()
	arrive = func() {
		s.programs++
		s.turn(s.programs, 0)
		s.after(time.Duration(s.random.ExpFloat64()/programsEach*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	if !s.pickBest {
		s.after(pictureInterval, s.tell)
	}
	for s.agenda.Len() > 0 && s.now < simulated {
		next := heap.Pop(&s.agenda).(happening)
		s.now = next.at
		next.do()
	}
}

// tell lets all daemons learn what was told at the tick before.
func (s *simulation) tell() {
	all, worked := load.Counts{}, load.Speeds{}
	for index := range s.counts {
		for key, count := range s.counts[index] {
			all[key] += count
		}
		for key, work := range s.speeds[index] {
			worked[key] = worked[key].Plus(work)
		}
	}
	for index := range s.counts {
		s.daemons[index].Learn(all, s.counts[index])
		if len(worked) > 0 {
			s.daemons[index].LearnSpeeds(worked, s.speeds[index])
		}
	}
	s.counts, s.speeds = nil, nil
	for _, daemon := range s.daemons {
		s.counts = append(s.counts, daemon.UnderWay())
		s.speeds = append(s.speeds, s.speedsOf(daemon))
	}
	s.after(pictureInterval, s.tell)
}

// speedsOf is what a daemon tells of speeds; nothing where they are switched off.
func (s *simulation) speedsOf(daemon *Fleet) load.Speeds {
	if s.off.Has(mechanism.EngineSpeeds) {
		return nil
	}
	return daemon.Speeds()
}

// turn places the next turn of a program through some daemon.
func (s *simulation) turn(program, number int) {
	turn := &simulatedTurn{program: program, number: number, daemon: s.random.IntN(simulatedDaemons), arrived: s.now}
	fleet := s.daemons[turn.daemon]
	chosen := s.choose(turn, fleet)
	turn.engine = slices.IndexFunc(s.engines, func(engine *simulatedEngine) bool { return engine.id == chosen.ID })
	turn.believed = chosen.Load(fleet.now())
	turn.end = chosen.Begin()
	s.last[program] = turn.engine
	engine := s.engines[turn.engine]
	if engine.running >= simulatedSlots {
		engine.queue = append(engine.queue, turn)
		return
	}
	s.begin(turn)
}

func (s *simulation) choose(turn *simulatedTurn, fleet *Fleet) *Instance {
	instances := fleet.Of("s")
	if s.pickBest {
		return s.best(turn, instances)
	}
	request := &Request{Affinity: fmt.Sprint(turn.program), Order: uint64(turn.daemon), Now: fleet.now(), Off: s.off}
	for part := range turn.number + 1 {
		request.Prefix = append(request.Prefix, PromptPart{Name: fmt.Sprint(turn.program, "/", part), Tokens: ownTokens})
	}
	if engine, found := s.last[turn.program]; found { // the holder of the budget tells who read it
		for _, instance := range instances {
			if instance.ID == s.engines[engine].id {
				instance.Remember(request.Prefix[:turn.number])
			}
		}
	}
	return Choose(instances, request)
}

// best is the engine at which the turn would end first.
func (s *simulation) best(turn *simulatedTurn, instances []*Instance) *Instance {
	ends := func(engine *simulatedEngine) time.Duration {
		one := s.eventTime(engine, 1) * simulatedEvents
		waits := max(engine.running+len(engine.queue)+1-simulatedSlots, 0)
		return s.readTime(engine, turn) + one + one*time.Duration(waits)/simulatedSlots
	}
	first := slices.MinFunc(s.engines, func(a, b *simulatedEngine) int { return int(ends(a) - ends(b)) })
	return instances[slices.IndexFunc(instances, func(instance *Instance) bool { return instance.ID == first.id })]
}

func (s *simulation) eventTime(engine *simulatedEngine, more int) time.Duration {
	share := min(float64(engine.running+more)/simulatedSlots, 1)
	return time.Duration(float64(idleEvent) * (1 + fullSlowdown*share) / engine.speed(s.now))
}

func (s *simulation) readTime(engine *simulatedEngine, turn *simulatedTurn) time.Duration {
	tokens := float64(turn.number+1-engine.kept[turn.program]) * ownTokens
	return time.Duration(tokens / readPerMs * float64(time.Millisecond) / engine.speed(s.now))
}

// begin reads the prompt and makes the events one after the other.
func (s *simulation) begin(turn *simulatedTurn) {
	engine := s.engines[turn.engine]
	engine.running++
	wait := idleFirst + s.readTime(engine, turn)
	engine.kept[turn.program] = turn.number + 1
	var event func()
	event = func() {
		if turn.made++; turn.made == 1 {
			turn.firstEvent = s.now
		}
		if s.now > settling {
			engine.work++
		}
		if turn.made == simulatedEvents {
			s.finish(turn)
			return
		}
		s.after(s.eventTime(engine, 0), event)
	}
	s.after(wait+s.eventTime(engine, 0), event)
}

func (s *simulation) finish(turn *simulatedTurn) {
	engine := s.engines[turn.engine]
	engine.running--
	turn.end()
	s.observe(turn)
	if turn.arrived > settling {
		s.took = append(s.took, s.now-turn.arrived)
	}
	if len(engine.queue) > 0 {
		next := engine.queue[0]
		engine.queue = engine.queue[1:]
		s.begin(next)
	}
	if turn.number+1 < turnsEach {
		s.after(pictureInterval, func() { s.turn(turn.program, turn.number+1) })
	}
}

// observe tells the daemon what the turn showed.
func (s *simulation) observe(turn *simulatedTurn) {
	fleet := s.daemons[turn.daemon]
	for _, instance := range fleet.Of("s") {
		if instance.ID == s.engines[turn.engine].id {
			instance.Observe(Outcome{
				FirstByte: turn.firstEvent - turn.arrived, PerEvent: (s.now - turn.firstEvent) / (simulatedEvents - 1),
				Further: simulatedEvents - 1, Load: turn.believed, Slots: simulatedSlots,
			}, fleet.now())
		}
	}
}

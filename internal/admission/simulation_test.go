package admission

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/load"
)

// kind is a kind of program. Every turn adds promptTokens and outputTokens to the context.
type kind struct {
	name                       string
	perSecond                  float64
	turns                      int
	promptTokens, outputTokens int
	pause                      time.Duration
	priority                   int
	deadlineFactor             float64
}

// Parameters of a deployment whose engines each retain about ten long programs in memory.
const (
	simEngines                = 44
	simMemory                 = 40000 // tokens for programs' own contexts
	simSlots                  = 8
	simQueueLength            = 24
	simPrefillTokensPerSecond = 64800
	simDecodeTime             = 240 * time.Millisecond
	simFirstTokenTime         = 30 * time.Millisecond
	simMaxWait                = 4 * time.Second // a turn that waits longer ends its program
	simDaemons                = 84
	simTenants                = 84
	simClients                = 104
	simReportInterval         = 100 * time.Millisecond
	simService                = "models"
)

var simKinds = []kind{
	{"short", 64, 4, 650, 73, 350 * time.Millisecond, 1, 1.5},
	{"long", 33, 16, 220, 50, 120 * time.Millisecond, 0, 1.5},
}

func (k kind) minDuration() time.Duration {
	turn := simFirstTokenTime + simDecodeTime + time.Duration(float64(k.promptTokens)/simPrefillTokensPerSecond*float64(time.Second))
	return time.Duration(k.turns)*turn + time.Duration(k.turns-1)*k.pause
}

// scenario is the configuration of a simulation. load returns the load as a multiple
// of the baseline load.
type scenario struct {
	length         time.Duration
	load           func(at time.Duration, kind kind, tenant int) float64
	snapshotAge    time.Duration // age of the snapshots that daemons get
	noAdmission    bool          // start all programs without asking for admission
	seed           uint64
	missingEngines int // how many of the simEngines engines are missing
}

// simProgram is a simulated program.
type simProgram struct {
	kind                kind
	name                string
	tenant, daemon      int
	arrivedAt, queuedAt time.Duration
	turn, context       int
	engine              *simEngine
	refusals            int
	request             *Request
	firstTurn           bool
}

// outcomeCounts counts the turns of programs, for one second, tenant or kind. asked counts the
// turns of all programs, and served those of the programs that met their deadline, both in the
// second in which the program arrived. ended also counts the turns of the programs that met their
// deadline, but in the second in which the program ended, and not by tenant or kind.
type outcomeCounts struct{ asked, served, ended float64 }

type simulation struct {
	scenario
	now      time.Duration
	random   *rand.Rand
	events   simEvents
	daemons  []*Controller
	clients  []int
	engines  []*simEngine
	reports  []load.ProgramStats
	seconds  []outcomeCounts
	byTenant map[int]*outcomeCounts
	byKind   map[string]*outcomeCounts
	refusals map[Cause]int
}

func (s *simulation) after(wait time.Duration, then func()) {
	heap.Push(&s.events, simEvent{s.now + wait, then})
}

// simulate runs a scenario to its end and returns the final state.
func simulate(config scenario) *simulation {
	s := &simulation{
		scenario: config, random: rand.New(rand.NewPCG(config.seed, 1)), seconds: make([]outcomeCounts, int(config.length/time.Second)+1),
		byTenant: map[int]*outcomeCounts{}, byKind: map[string]*outcomeCounts{}, refusals: map[Cause]int{},
	}
	clock := func() time.Time { return time.Unix(1000, 0).Add(s.now) }
	for range simDaemons {
		s.daemons = append(s.daemons, NewController(Options{
			Members: func() int { return simDaemons }, Services: func() []string { return []string{simService} }, Now: clock, Log: zap.NewNop(),
		}))
	}
	for range simClients {
		s.clients = append(s.clients, s.random.IntN(simDaemons))
	}
	for range simEngines - config.missingEngines {
		engine := &simEngine{}
		engine.contexts, _ = simplelru.NewLRU[string, int](1<<20, nil)
		s.engines = append(s.engines, engine)
	}
	for _, simulated := range simKinds {
		s.after(0, func() { s.arrive(simulated) })
	}
	s.after(0, s.exchange)
	for len(s.events) > 0 && s.now < config.length {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
	return s
}

// arrive starts a program and schedules the next arrival. Arrivals come at the highest
// possible rate and are discarded at random to match the load.
func (s *simulation) arrive(arriving kind) {
	const maxFactor = 6
	s.after(time.Duration(s.random.ExpFloat64()/(arriving.perSecond*maxFactor)*float64(time.Second)), func() { s.arrive(arriving) })
	tenant := s.random.IntN(simTenants)
	if s.random.Float64()*maxFactor >= s.load(s.now, arriving, tenant) {
		return
	}
	program := &simProgram{kind: arriving, name: fmt.Sprint(s.random.Uint64()), tenant: tenant, daemon: s.clients[s.random.IntN(simClients)], arrivedAt: s.now}
	for _, count := range s.counters(program) {
		count.asked += float64(arriving.turns)
	}
	s.begin(program)
}

func (s *simulation) counters(p *simProgram) []*outcomeCounts {
	if s.byTenant[p.tenant] == nil {
		s.byTenant[p.tenant] = &outcomeCounts{}
	}
	if s.byKind[p.kind.name] == nil {
		s.byKind[p.kind.name] = &outcomeCounts{}
	}
	return []*outcomeCounts{&s.seconds[int(p.arrivedAt/time.Second)], s.byTenant[p.tenant], s.byKind[p.kind.name]}
}

func (p *simProgram) deadline() time.Duration {
	return time.Duration(p.kind.deadlineFactor * float64(p.kind.minDuration()))
}

// begin asks for admission. A refused program tries up to twice more, until its deadline.
func (s *simulation) begin(p *simProgram) {
	p.request = s.request(p)
	if !s.noAdmission {
		var refused *RefusedError
		if errors.As(s.daemons[p.daemon].Admit(p.request), &refused) {
			s.refusals[refused.Cause]++
			timeLeft := p.arrivedAt + p.deadline() - s.now
			if p.refusals++; p.refusals <= 2 && timeLeft > 0 {
				s.after(min(refused.RetryAfter, timeLeft/3), func() { s.begin(p) })
			}
			return
		}
	}
	p.firstTurn = true
	p.engine = s.engines[s.random.IntN(len(s.engines))]
	for range 3 {
		if other := s.engines[s.random.IntN(len(s.engines))]; other.running+len(other.waiting) < p.engine.running+len(p.engine.waiting) {
			p.engine = other
		}
	}
	s.enqueue(p)
}

func (s *simulation) request(p *simProgram) *Request {
	request := &Request{
		Service: simService, Route: p.kind.name, Tenant: fmt.Sprint(p.tenant), Program: p.name, Priority: p.kind.priority,
		TimeLeft: p.arrivedAt + p.deadline() - s.now, Capacity: Capacity{Engines: len(s.engines), MemoryTokens: simMemory}, Random: s.random.Float64(),
	}
	for turn := range p.turn + 1 {
		request.Prompt = append(request.Prompt, PromptPart{Name: fmt.Sprint(turn), Tokens: p.kind.promptTokens + p.kind.outputTokens})
	}
	return request
}

func (s *simulation) leave(p *simProgram, spent int) {
	if !s.noAdmission {
		s.daemons[p.daemon].EndTurn(p.request, int64(spent))
	}
}

func (s *simulation) endTurn(p *simProgram, prefillTokens int) {
	p.engine.running--
	s.run(p.engine)
	s.leave(p, prefillTokens+10*p.kind.outputTokens)
	p.turn++
	p.firstTurn = false
	if p.turn < p.kind.turns {
		s.after(time.Duration(s.random.ExpFloat64()*float64(p.kind.pause)), func() {
			p.request = s.request(p)
			s.daemons[p.daemon].ContinueTurn(p.request)
			s.enqueue(p)
		})
		return
	}
	if s.now-p.arrivedAt <= p.deadline() {
		for _, count := range s.counters(p) {
			count.served += float64(p.kind.turns)
		}
		s.seconds[int(s.now/time.Second)].ended += float64(p.kind.turns)
	}
}

// exchange collects the reports of all daemons and passes each daemon a sum that is snapshotAge
// old.
func (s *simulation) exchange() {
	s.after(simReportInterval, s.exchange)
	sum := load.ProgramStats{Services: map[load.Digest]load.ServiceStats{}, Spent: map[load.Digest]int64{}}
	for _, daemon := range s.daemons {
		sum.Add(daemon.Programs())
	}
	s.reports = append(s.reports, sum)
	delay := int(s.snapshotAge / simReportInterval)
	if len(s.reports) <= delay {
		return
	}
	for _, daemon := range s.daemons {
		daemon.UpdatePrograms(s.reports[len(s.reports)-1-delay], load.ProgramStats{})
	}
}

// goodput returns the mean turns per second of the programs that ended and met their deadline
// between two seconds.
func (s *simulation) goodput(from, to int) float64 {
	sum := 0.0
	for _, counts := range s.seconds[from:to] {
		sum += counts.ended
	}
	return sum / float64(to-from)
}

// servedShare returns the fraction of programs that met their deadline, weighted by turns, among
// those that arrived between two seconds.
func (s *simulation) servedShare(from, to int) float64 {
	asked, served := 0.0, 0.0
	for _, counts := range s.seconds[from:to] {
		asked, served = asked+counts.asked, served+counts.served
	}
	return served / asked
}

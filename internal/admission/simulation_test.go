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

// kind is a kind of programs: turns, each of which brings and makes tokens.
type kind struct {
	name            string
	perSecond       float64
	turns           int
	brings, makes   int
	pause           time.Duration
	priority        int
	aimOverIdleTime float64
}

// Engines and programs as a deployment has them whose engines keep some ten long programs.
const (
	simEngines = 44
	simMemory  = 40000 // tokens for programs' own contexts
	simSlots   = 8
	simQueue   = 24
	simReading = 64800 // tokens a second
	simMaking  = 240 * time.Millisecond
	simFirst   = 30 * time.Millisecond
	simPatient = 4 * time.Second // a turn that waits longer ends its program
	simDaemons = 84
	simTenants = 84
	simClients = 104
	simTick    = 100 * time.Millisecond
	simService = "models"
)

var simKinds = []kind{
	{"short", 64, 4, 650, 73, 350 * time.Millisecond, 1, 1.5},
	{"long", 33, 16, 220, 50, 120 * time.Millisecond, 0, 1.5},
}

func (k kind) idleTime() time.Duration {
	turn := simFirst + simMaking + time.Duration(float64(k.brings)/simReading*float64(time.Second))
	return time.Duration(k.turns)*turn + time.Duration(k.turns-1)*k.pause
}

// scenario says what is offered, times the usual load.
type scenario struct {
	length   time.Duration
	offered  func(at time.Duration, kind kind, tenant int) float64
	age      time.Duration // of pictures
	unbound  bool          // without admission
	seed     uint64
	fewRooms int // engines with so many fewer
}

// simProgram is one of a caller's.
type simProgram struct {
	kind           kind
	name           string
	tenant, daemon int
	came, queuedAt time.Duration
	turn, context  int
	engine         *simEngine
	refused        int
	request        *Request
	first          bool
}

// second is what came of the programs that came, and of those that ended in time, in a second.
type second struct{ asked, served, ended float64 }

type simulation struct {
	scenario
	now      time.Duration
	random   *rand.Rand
	events   simEvents
	daemons  []*Controller
	clients  []int
	engines  []*simEngine
	pictures []load.Programs
	seconds  []second
	byTenant map[int]*second
	byKind   map[string]*second
	refusals map[Cause]int
}

func (s *simulation) in(wait time.Duration, then func()) {
	heap.Push(&s.events, simEvent{s.now + wait, then})
}

// play runs a scenario to its end.
func play(what scenario) *simulation {
	s := &simulation{
		scenario: what, random: rand.New(rand.NewPCG(what.seed, 1)), seconds: make([]second, int(what.length/time.Second)+1),
		byTenant: map[int]*second{}, byKind: map[string]*second{}, refusals: map[Cause]int{},
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
	for range simEngines - what.fewRooms {
		engine := &simEngine{}
		engine.contexts, _ = simplelru.NewLRU[string, int](1<<20, nil)
		s.engines = append(s.engines, engine)
	}
	for _, each := range simKinds {
		s.in(0, func() { s.arrive(each) })
	}
	s.in(0, s.exchange)
	for len(s.events) > 0 && s.now < what.length {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.then()
	}
	return s
}

// arrive draws one program after the other; thinning makes the offered load.
func (s *simulation) arrive(of kind) {
	const most = 6
	s.in(time.Duration(s.random.ExpFloat64()/(of.perSecond*most)*float64(time.Second)), func() { s.arrive(of) })
	tenant := s.random.IntN(simTenants)
	if s.random.Float64()*most >= s.offered(s.now, of, tenant) {
		return
	}
	program := &simProgram{kind: of, name: fmt.Sprint(s.random.Uint64()), tenant: tenant, daemon: s.clients[s.random.IntN(simClients)], came: s.now}
	for _, count := range s.counted(program) {
		count.asked += float64(of.turns)
	}
	s.begin(program)
}

func (s *simulation) counted(p *simProgram) []*second {
	if s.byTenant[p.tenant] == nil {
		s.byTenant[p.tenant] = &second{}
	}
	if s.byKind[p.kind.name] == nil {
		s.byKind[p.kind.name] = &second{}
	}
	return []*second{&s.seconds[int(p.came/time.Second)], s.byTenant[p.tenant], s.byKind[p.kind.name]}
}

func (p *simProgram) aim() time.Duration {
	return time.Duration(p.kind.aimOverIdleTime * float64(p.kind.idleTime()))
}

// begin asks for admission; who is refused comes back twice, as long as that can help.
func (s *simulation) begin(p *simProgram) {
	p.request = s.request(p)
	if !s.unbound {
		var refused *RefusedError
		if errors.As(s.daemons[p.daemon].Begin(p.request), &refused) {
			s.refusals[refused.Cause]++
			left := p.came + p.aim() - s.now
			if p.refused++; p.refused <= 2 && left > 0 {
				s.in(min(refused.After, left/3), func() { s.begin(p) })
			}
			return
		}
	}
	p.first = true
	p.engine = s.engines[s.random.IntN(len(s.engines))]
	for range 3 {
		if other := s.engines[s.random.IntN(len(s.engines))]; other.running+len(other.waiting) < p.engine.running+len(p.engine.waiting) {
			p.engine = other
		}
	}
	s.queue(p)
}

func (s *simulation) request(p *simProgram) *Request {
	request := &Request{
		Service: simService, Route: p.kind.name, Tenant: fmt.Sprint(p.tenant), Program: p.name, Priority: p.kind.priority,
		TimeLeft: p.came + p.aim() - s.now, Room: Room{Engines: len(s.engines), MemoryTokens: simMemory}, Random: s.random.Float64(),
	}
	for turn := range p.turn + 1 {
		request.Prompt = append(request.Prompt, PromptPart{Name: fmt.Sprint(turn), Tokens: p.kind.brings + p.kind.makes})
	}
	return request
}

func (s *simulation) leave(p *simProgram, spent int) {
	if !s.unbound {
		s.daemons[p.daemon].Leave(p.request, int64(spent))
	}
}

func (s *simulation) turnEnds(p *simProgram, missing int) {
	p.engine.running--
	s.run(p.engine)
	s.leave(p, missing+10*p.kind.makes)
	p.turn++
	p.first = false
	if p.turn < p.kind.turns {
		s.in(time.Duration(s.random.ExpFloat64()*float64(p.kind.pause)), func() {
			p.request = s.request(p)
			s.daemons[p.daemon].Continue(p.request)
			s.queue(p)
		})
		return
	}
	if s.now-p.came <= p.aim() {
		for _, count := range s.counted(p) {
			count.served += float64(p.kind.turns)
		}
		s.seconds[int(s.now/time.Second)].ended += float64(p.kind.turns)
	}
}

// exchange lets all tell, and learn a sum that is as old as the scenario says.
func (s *simulation) exchange() {
	s.in(simTick, s.exchange)
	sum := load.Programs{Services: map[load.Key]load.ServicePrograms{}, Spent: map[load.Key]int64{}}
	for _, daemon := range s.daemons {
		sum.Include(daemon.Programs())
	}
	s.pictures = append(s.pictures, sum)
	late := int(s.age / simTick)
	if len(s.pictures) <= late {
		return
	}
	for _, daemon := range s.daemons {
		daemon.LearnPrograms(s.pictures[len(s.pictures)-1-late], load.Programs{})
	}
}

// goodput is what ended in time a second, in turns, over a span.
func (s *simulation) goodput(from, to int) float64 {
	sum := 0.0
	for _, each := range s.seconds[from:to] {
		sum += each.ended
	}
	return sum / float64(to-from)
}

// servedOf is the part of what came in a span that ended in time.
func (s *simulation) servedOf(from, to int) float64 {
	asked, served := 0.0, 0.0
	for _, each := range s.seconds[from:to] {
		asked, served = asked+each.asked, served+each.served
	}
	return served / asked
}

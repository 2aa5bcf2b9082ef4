package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of when a program is taken to be over: nobody tells its last turn.
const (
	// overBelow is the chance to go on below which a resting program is over.
	overBelow = 0.02
	// longestRest is how long a program may rest at most: callers' tools answer sooner.
	longestRest = 2 * time.Second
	// usualGoesOn and usualPause are taken before a program was seen.
	usualGoesOn = 0.5
	usualPause  = 0.3 // seconds
	// usualWeight is the weight of one more value in a running mean.
	usualWeight = 0.05
)

// mean is a running mean; its first value counts whole.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(value float64) {
	if !m.known {
		m.value, m.known = value, true
		return
	}
	m.value += usualWeight * (value - m.value)
}

// or is the mean, or a value for when none is known.
func (m *mean) or(unknown float64) float64 {
	if !m.known {
		return unknown
	}
	return m.value
}

// routeUsual is what programs of a route usually are, as this daemon saw them.
type routeUsual struct {
	context mean // tokens at a program's end
	seconds mean // from its first turn to its last
	pause   mean // seconds between two of its turns
	goesOn  mean // share of the turns after which another one came
	// timeUsed is the part of the time that a program had at its first turn which it took.
	timeUsed mean
}

// alive is the chance that a program goes on that rests for so long: pauses are taken to be
// spread exponentially, and the longer one lasts, the likelier it is the end.
func (r *routeUsual) alive(rest time.Duration) float64 {
	if rest >= longestRest {
		return 0
	}
	goesOn := r.goesOn.or(usualGoesOn)
	pauses := goesOn * math.Exp(-rest.Seconds()/max(r.pause.or(usualPause), 0.001))
	return pauses / (pauses + 1 - goesOn + 1e-9)
}

// program is one under way at this daemon.
type program struct {
	name    string
	route   string
	counted map[string]struct{} // parts of its prompts
	context int64               // tokens of them
	weight  int64               // tokens that it is expected to need, or has
	active  int                 // requests under way
	began   time.Time
	hadTime time.Duration // at its first turn; 0: not told
	rests   time.Time     // since when, if none is under way
}

// grow counts the parts of a prompt that are the program's own and were not counted yet.
func (p *program) grow(request *Request) {
	for index, part := range request.Prompt {
		if index < request.Everywhere {
			continue
		}
		if _, counted := p.counted[part.Name]; counted {
			continue
		}
		p.counted[part.Name] = struct{}{}
		p.context += int64(part.Tokens)
	}
}

// programs are those of one service that are under way at this daemon.
type programs struct {
	underWay map[string]*program
	inOrder  []*program // the same, in an order that does not differ from run to run
	routes   map[string]*routeUsual
	refused  *simplelru.LRU[string, refusedProgram] // when they first came
}

func newPrograms() programs {
	refused, err := simplelru.NewLRU[string, refusedProgram](refusedKept, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return programs{underWay: map[string]*program{}, routes: map[string]*routeUsual{}, refused: refused}
}

func (p *programs) usual(route string) *routeUsual {
	known, found := p.routes[route]
	if !found {
		known = &routeUsual{}
		p.routes[route] = known
	}
	return known
}

// expected is the context that a program with this first prompt is taken to need: the middle
// between its first and its last one, since some programs begin while others end.
func (p *programs) expected(request *Request) int64 {
	own := &program{counted: map[string]struct{}{}}
	own.grow(request)
	last := int64(p.usual(request.Route).context.value)
	return max(own.context, (own.context+last)/2)
}

// held are the tokens of the contexts under way: a resting program's count by the chance that
// it goes on. What an ended one leaves behind gives way to others and does not count.
func (p *programs) held(now time.Time) int64 {
	sum := 0.0
	for _, current := range p.inOrder {
		alive := 1.0
		if current.active == 0 {
			alive = p.usual(current.route).alive(now.Sub(current.rests))
		}
		sum += alive * float64(current.weight)
	}
	return int64(sum)
}

// Which refused programs are remembered, and for how long: those that come back within the
// longest wait that callers are asked for, as many as a daemon refuses in that time.
const (
	refusedKept    = 4096
	refusedKeptFor = 2 * latestBack
)

// refusedProgram is what a program that was refused had when it first came.
type refusedProgram struct {
	at       time.Time
	timeLeft time.Duration
}

// refusedBefore finds a program that was refused lately.
func (p *programs) refusedBefore(name string, now time.Time) (refusedProgram, bool) {
	known, found := p.refused.Get(name)
	return known, found && now.Sub(known.at) <= refusedKeptFor
}

// late tells whether a program that was refused before has less time left than such programs
// take. Programs differ in length; what they need of the time that they are given does not.
func (p *programs) late(request *Request, now time.Time) bool {
	before, refused := p.refusedBefore(request.Program, now)
	if !refused || request.TimeLeft <= 0 {
		return false
	}
	return request.TimeLeft.Seconds() < p.usual(request.Route).timeUsed.or(0)*before.timeLeft.Seconds()
}

// refuse remembers how much time the program had when it first came.
func (p *programs) refuse(request *Request, now time.Time) {
	if _, again := p.refusedBefore(request.Program, now); !again {
		p.refused.Add(request.Program, refusedProgram{at: now, timeLeft: request.TimeLeft})
	}
}

// begin counts a program in that has begun.
func (p *programs) begin(request *Request, now time.Time) {
	begun := &program{
		name: request.Program, route: request.Route, counted: map[string]struct{}{}, weight: p.expected(request), began: now, hadTime: request.TimeLeft,
	}
	p.underWay[begun.name] = begun
	p.inOrder = append(p.inOrder, begun)
}

// enter counts a request of a program that is under way.
func (p *programs) enter(request *Request, now time.Time) {
	current := p.underWay[request.Program]
	if current.active == 0 && !current.rests.IsZero() {
		usual := p.usual(current.route)
		usual.pause.add(now.Sub(current.rests).Seconds())
		usual.goesOn.add(1)
	}
	current.active++
	current.grow(request)
	current.weight = max(current.weight, current.context)
}

// leave counts a request out.
func (p *programs) leave(name string, now time.Time) {
	current, found := p.underWay[name]
	if !found || current.active == 0 {
		return
	}
	current.active--
	current.rests = now
}

// drop takes a program back that did not begin after all.
func (p *programs) drop(name string) {
	if current, found := p.underWay[name]; found && current.active == 0 {
		p.remove(func(each *program) bool { return each == current })
	}
}

// remove takes out the programs that match.
func (p *programs) remove(matches func(*program) bool) {
	p.inOrder = slices.DeleteFunc(p.inOrder, func(each *program) bool {
		if !matches(each) {
			return false
		}
		delete(p.underWay, each.name)
		return true
	})
}

// sweep takes out the programs that are over, and learns from them.
func (p *programs) sweep(now time.Time) {
	p.remove(func(each *program) bool {
		usual := p.usual(each.route)
		if each.active > 0 || usual.alive(now.Sub(each.rests)) >= overBelow {
			return false
		}
		usual.learn(each)
		return true
	})
}

// learn takes in a program that is over.
func (r *routeUsual) learn(ended *program) {
	r.goesOn.add(0)
	r.context.add(float64(ended.context))
	took := ended.rests.Sub(ended.began)
	r.seconds.add(took.Seconds())
	if ended.hadTime > 0 {
		r.timeUsed.add(took.Seconds() / ended.hadTime.Seconds())
	}
}

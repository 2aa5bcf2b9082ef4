package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Parameters for detecting the end of a program. Callers do not announce the last turn.
const (
	// minContinueProbability is the probability of another turn below which an idle program
	// counts as ended.
	minContinueProbability = 0.02
	// maxIdleTime is the idle time after which a program has ended in any case. The tools
	// that callers run between two turns answer sooner in most cases.
	maxIdleTime = 2 * time.Second
	// defaultContinueProbability and defaultPauseSeconds are used before any program of the
	// route was observed.
	defaultContinueProbability = 0.5
	defaultPauseSeconds        = 0.3
	// meanWeight is the weight of a new value in a running mean.
	meanWeight = 0.05
)

// runningMean is an exponentially weighted moving average that starts at the first value.
type runningMean struct {
	value    float64
	hasValue bool
}

func (m *runningMean) add(value float64) {
	if !m.hasValue {
		m.value, m.hasValue = value, true
		return
	}
	m.value += meanWeight * (value - m.value)
}

// valueOr returns the mean, or the fallback if there are no values.
func (m *runningMean) valueOr(fallback float64) float64 {
	if !m.hasValue {
		return fallback
	}
	return m.value
}

// routeStats holds statistics of the programs of a route at this daemon.
type routeStats struct {
	contextTokens   runningMean // context of a program when it ends
	durationSeconds runningMean // of a program, from the start of its first turn to the end of its last
	pauseSeconds    runningMean // time between two turns of a program
	continueShare   runningMean // fraction of the turns that were followed by another turn
	// timeUsedShare is a program's duration as a fraction of the time that it had left at its
	// first turn.
	timeUsedShare runningMean
}

// continueProbability returns the probability that a program continues after it has been idle
// for the given time. It assumes that the pauses between turns are exponentially distributed.
func (r *routeStats) continueProbability(idleTime time.Duration) float64 {
	if idleTime >= maxIdleTime {
		return 0
	}
	continueShare := r.continueShare.valueOr(defaultContinueProbability)
	pausing := continueShare * math.Exp(-idleTime.Seconds()/max(r.pauseSeconds.valueOr(defaultPauseSeconds), 0.001))
	return pausing / (pausing + 1 - continueShare + 1e-9)
}

// program is a running program at this daemon.
type program struct {
	name            string
	route           string
	countedParts    map[string]struct{} // names of the prompt parts that contextTokens includes
	contextTokens   int64               // tokens of the program's own parts in all prompts so far
	expectedTokens  int64               // expected context, at least contextTokens
	activeRequests  int                 // number of requests that have not ended
	startedAt       time.Time
	initialTimeLeft time.Duration // time to the deadline at the first turn; 0: not known
	idleSince       time.Time     // end of the last request; valid only without an active request
}

// addPrompt adds the tokens of the prompt's parts to contextTokens, without the parts that
// every engine retains and those that are counted already.
func (p *program) addPrompt(request *Request) {
	for index, part := range request.Prompt {
		if index < request.SharedPartCount {
			continue
		}
		if _, counted := p.countedParts[part.Name]; counted {
			continue
		}
		p.countedParts[part.Name] = struct{}{}
		p.contextTokens += int64(part.Tokens)
	}
}

// programs holds the running programs of one service at this daemon, and the statistics of
// their routes.
type programs struct {
	byName   map[string]*program
	ordered  []*program // in order of their start, for reproducible sums
	routes   map[string]*routeStats
	refusals *simplelru.LRU[string, refusal] // first refusal of each program, by name
}

func newPrograms() programs {
	refusals, err := simplelru.NewLRU[string, refusal](maxRefusals, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return programs{byName: map[string]*program{}, routes: map[string]*routeStats{}, refusals: refusals}
}

// getOrCreateStats returns the statistics of the route, and adds empty ones if the route is not
// known yet.
func (p *programs) getOrCreateStats(route string) *routeStats {
	entry, found := p.routes[route]
	if !found {
		entry = &routeStats{}
		p.routes[route] = entry
	}
	return entry
}

// expectedTokens returns the expected mean context of a program with this first prompt, in
// tokens. It is halfway between the first context and the mean last context of the route's
// programs, but not less than the first context. Halfway is enough because the programs that run
// at the same time are at different stages.
func (p *programs) expectedTokens(request *Request) int64 {
	candidate := &program{countedParts: map[string]struct{}{}}
	candidate.addPrompt(request)
	usualTokens := int64(p.getOrCreateStats(request.Route).contextTokens.value)
	return max(candidate.contextTokens, (candidate.contextTokens+usualTokens)/2)
}

// heldTokens returns the tokens of the contexts of all running programs. An idle program is
// weighted with the probability that it continues. Contexts of ended programs do not count,
// because engines evict them when they need the memory.
func (p *programs) heldTokens(now time.Time) int64 {
	sum := 0.0
	for _, current := range p.ordered {
		probability := 1.0
		if current.activeRequests == 0 {
			probability = p.getOrCreateStats(current.route).continueProbability(now.Sub(current.idleSince))
		}
		sum += probability * float64(current.expectedTokens)
	}
	return int64(sum)
}

// Limits for remembering refused programs. maxRefusals is the maximum number of programs that are
// remembered per service. refusalTTL is how long a refusal is used. It is longer than any wait that
// RetryAfter returns.
const (
	maxRefusals = 4096
	refusalTTL  = 2 * maxRetryAfter
)

// refusal is the first refusal of a program. timeLeft is the time that was left until the
// deadline; 0: not known.
type refusal struct {
	at       time.Time
	timeLeft time.Duration
}

// recentRefusal returns the recorded refusal of the program, if it is not older than refusalTTL.
func (p *programs) recentRefusal(name string, now time.Time) (refusal, bool) {
	known, found := p.refusals.Get(name)
	return known, found && now.Sub(known.at) <= refusalTTL
}

// isLate reports whether a program that was refused before can no longer meet its deadline. The
// time that the program needs is estimated as the mean timeUsedShare of its route times the time
// left at its first refusal. This fraction varies less between programs than their durations do.
func (p *programs) isLate(request *Request, now time.Time) bool {
	first, refused := p.recentRefusal(request.Program, now)
	if !refused || request.TimeLeft <= 0 {
		return false
	}
	return request.TimeLeft.Seconds() < p.getOrCreateStats(request.Route).timeUsedShare.valueOr(0)*first.timeLeft.Seconds()
}

// recordRefusal records the first refusal of the program with its remaining time. It retains an
// earlier refusal that is still recent.
func (p *programs) recordRefusal(request *Request, now time.Time) {
	if _, known := p.recentRefusal(request.Program, now); !known {
		p.refusals.Add(request.Program, refusal{at: now, timeLeft: request.TimeLeft})
	}
}

// add adds the program of the request, without an active request. The caller must then call
// startRequest for the request.
func (p *programs) add(request *Request, now time.Time) {
	added := &program{
		name: request.Program, route: request.Route, countedParts: map[string]struct{}{}, expectedTokens: p.expectedTokens(request), startedAt: now, initialTimeLeft: request.TimeLeft,
	}
	p.byName[added.name] = added
	p.ordered = append(p.ordered, added)
}

// startRequest records the start of a request. The program must have been added.
func (p *programs) startRequest(request *Request, now time.Time) {
	current := p.byName[request.Program]
	if current.activeRequests == 0 && !current.idleSince.IsZero() {
		stats := p.getOrCreateStats(current.route)
		stats.pauseSeconds.add(now.Sub(current.idleSince).Seconds())
		stats.continueShare.add(1)
	}
	current.activeRequests++
	current.addPrompt(request)
	current.expectedTokens = max(current.expectedTokens, current.contextTokens)
}

// endRequest records the end of a request. It ignores unknown programs.
func (p *programs) endRequest(name string, now time.Time) {
	current, found := p.byName[name]
	if !found || current.activeRequests == 0 {
		return
	}
	current.activeRequests--
	current.idleSince = now
}

// removeIdle removes the program unless it has active requests.
func (p *programs) removeIdle(name string) {
	if current, found := p.byName[name]; found && current.activeRequests == 0 {
		p.removeIf(func(candidate *program) bool { return candidate == current })
	}
}

// removeIf removes the programs that match.
func (p *programs) removeIf(matches func(*program) bool) {
	p.ordered = slices.DeleteFunc(p.ordered, func(candidate *program) bool {
		if !matches(candidate) {
			return false
		}
		delete(p.byName, candidate.name)
		return true
	})
}

// removeEnded removes the programs that have probably ended, and records them in the
// statistics.
func (p *programs) removeEnded(now time.Time) {
	p.removeIf(func(candidate *program) bool {
		stats := p.getOrCreateStats(candidate.route)
		if candidate.activeRequests > 0 || stats.continueProbability(now.Sub(candidate.idleSince)) >= minContinueProbability {
			return false
		}
		stats.record(candidate)
		return true
	})
}

// record adds an ended program to the statistics.
func (r *routeStats) record(ended *program) {
	r.continueShare.add(0)
	r.contextTokens.add(float64(ended.contextTokens))
	duration := ended.idleSince.Sub(ended.startedAt)
	r.durationSeconds.add(duration.Seconds())
	if ended.initialTimeLeft > 0 {
		r.timeUsedShare.add(duration.Seconds() / ended.initialTimeLeft.Seconds())
	}
}

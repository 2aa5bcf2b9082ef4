package experiment

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Strategy is the name of a strategy for placing calls on engines.
type Strategy string

// The strategies that are compared.
const (
	RoundRobin  Strategy = "round-robin"
	LeastLoaded Strategy = "least-loaded"
	PrefixHash  Strategy = "prefix-hash"
	SessionHash Strategy = "session-hash"
	FirstCome   Strategy = "first-come"
	Thymeloft   Strategy = "thymeloft"
)

// Strategies returns all strategies in the order of the report.
func Strategies() []Strategy {
	return []Strategy{RoundRobin, LeastLoaded, PrefixHash, SessionHash, FirstCome, Thymeloft}
}

// traits are the properties of a strategy besides placement.
type traits struct {
	joinsCopies bool // the copies of calls that callers send again are not executed
}

// strategy places the calls of one daemon.
type strategy interface {
	traits() traits
	submit(c *call)
	handleStateChange()                   // called when a report arrives or a placement ends
	handleAnswer(c *call)                 // called when the answer reaches the daemon
	handleProgramEnd(program *programRun) // called when the program has ended or is abandoned
	waitingCalls() int                    // number of calls queued in the daemon
}

func newStrategy(d *daemon, choice Strategy, settings Settings) strategy {
	base := balancer{daemon: d, joins: settings.JoinCopies}
	switch choice {
	case RoundRobin:
		base.choose = roundRobin
	case LeastLoaded:
		base.choose = leastLoaded
	case PrefixHash:
		base.choose = prefixHash
	case SessionHash:
		base.choose = sessionHash
	case FirstCome:
		return &firstCome{balancer: base}
	default:
		return newThymeloft(d, settings)
	}
	base.turn = d.index
	return &base
}

// balancer places each call at once, so that calls wait in the engines' queues.
type balancer struct {
	daemon *daemon
	joins  bool
	turn   int
	choose func(d *daemon, turn int, c *call) int
}

func (b *balancer) traits() traits               { return traits{joinsCopies: b.joins} }
func (b *balancer) handleStateChange()           {}
func (b *balancer) handleAnswer(*call)           {}
func (b *balancer) handleProgramEnd(*programRun) {}
func (b *balancer) waitingCalls() int            { return 0 }

func (b *balancer) submit(c *call) {
	b.turn++
	b.daemon.place(c, b.choose(b.daemon, b.turn, c), 0, c.promptTokens)
}

func roundRobin(d *daemon, turn int, _ *call) int {
	return turn % len(d.run.engines)
}

// leastLoaded chooses the engine with the fewest calls in daemon.view, which
// thymeloft uses too. Engines with equally many calls are chosen in turn.
func leastLoaded(d *daemon, turn int, _ *call) int {
	best, least := 0, 0
	for offset := range d.run.engines {
		index := (turn + offset) % len(d.run.engines)
		if load := callCount(d.view(index)); offset == 0 || load < least {
			best, least = index, load
		}
	}
	return best
}

func prefixHash(d *daemon, _ int, c *call) int {
	parts := c.program.Prefix
	return int(parts[len(parts)-1].Hash % uint64(len(d.run.engines)))
}

func sessionHash(d *daemon, _ int, c *call) int {
	root := c.program
	for root.parent != nil {
		root = root.parent
	}
	name := [4]byte{byte(root.Index), byte(root.Index >> 8), byte(root.Index >> 16), byte(root.Index >> 24)}
	return int(xxhash.Sum64(name[:]) % uint64(len(d.run.engines)))
}

func callCount(view scheduling.Engine) int {
	return view.Running + view.Waiting + view.PlacedSinceReport
}

// firstCome has one queue in order of arrival. It places a call when an engine
// has a free slot, on the engine with the smallest share of its slots in use.
type firstCome struct {
	balancer
	queue []*call
}

func (f *firstCome) submit(c *call) {
	f.queue = append(f.queue, c)
	f.handleStateChange()
}

func (f *firstCome) waitingCalls() int { return len(f.queue) }

func (f *firstCome) handleStateChange() {
	for len(f.queue) > 0 {
		engine, found := f.findFree()
		if !found {
			return
		}
		first := f.queue[0]
		f.queue = f.queue[1:]
		f.daemon.place(first, engine, 0, first.promptTokens)
	}
}

func (f *firstCome) findFree() (best int, found bool) {
	least := 1.0
	for index := range f.daemon.run.engines {
		view := f.daemon.view(index)
		if share := float64(callCount(view)) / float64(view.MaxRunning); share < least {
			best, least, found = index, share, true
		}
	}
	return best, found
}

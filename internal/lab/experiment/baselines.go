package experiment

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Strategy names a way of placing calls.
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

// Strategies are all of them, in the order of reports.
func Strategies() []Strategy {
	return []Strategy{RoundRobin, LeastLoaded, PrefixHash, SessionHash, FirstCome, Thymeloft}
}

// traits are what comes with a strategy besides placement.
type traits struct {
	joinsCopies bool // the same call sent again joins the first
}

// strategy places the calls of one daemon.
type strategy interface {
	traits() traits
	submit(received *call)
	changed()                         // a report arrived or a placement ended
	answered(done *call)              // the program pauses or ends now
	programEnded(program *programRun) // the caller ended it
	waiting() int
}

func newStrategy(d *daemon, choice Strategy, settings Settings) strategy {
	own := balancer{daemon: d, joins: settings.JoinCopies}
	switch choice {
	case RoundRobin:
		own.choose = roundRobin
	case LeastLoaded:
		own.choose = leastLoaded
	case PrefixHash:
		own.choose = prefixHash
	case SessionHash:
		own.choose = sessionHash
	case FirstCome:
		return &firstCome{balancer: own}
	default:
		return newThymeloft(d, settings)
	}
	own.turn = d.index
	return &own
}

// balancer sends each call on at once; it waits in the engine's own line.
type balancer struct {
	daemon *daemon
	joins  bool
	turn   int
	choose func(d *daemon, turn int, received *call) int
}

func (b *balancer) traits() traits           { return traits{joinsCopies: b.joins} }
func (b *balancer) changed()                 {}
func (b *balancer) answered(*call)           {}
func (b *balancer) programEnded(*programRun) {}
func (b *balancer) waiting() int             { return 0 }

func (b *balancer) submit(received *call) {
	b.turn++
	b.daemon.place(received, b.choose(b.daemon, b.turn, received), 0, received.promptTokens)
}

func roundRobin(d *daemon, turn int, _ *call) int {
	return turn % len(d.run.engines)
}

// leastLoaded takes the engine with the fewest calls, by the same corrected
// reports that thymeloft sees; equal ones take turns.
func leastLoaded(d *daemon, turn int, _ *call) int {
	best, least := 0, 0
	for offset := range d.run.engines {
		index := (turn + offset) % len(d.run.engines)
		if load := calls(d.view(index)); offset == 0 || load < least {
			best, least = index, load
		}
	}
	return best
}

func prefixHash(d *daemon, _ int, received *call) int {
	parts := received.program.Prefix
	return int(parts[len(parts)-1].Hash % uint64(len(d.run.engines)))
}

func sessionHash(d *daemon, _ int, received *call) int {
	root := received.program
	for root.parent != nil {
		root = root.parent
	}
	name := [4]byte{byte(root.Index), byte(root.Index >> 8), byte(root.Index >> 16), byte(root.Index >> 24)}
	return int(xxhash.Sum64(name[:]) % uint64(len(d.run.engines)))
}

func calls(view scheduling.Engine) int {
	return view.Running + view.Waiting + view.PlacedSinceReport
}

// firstCome keeps one line and gives its first call to the first engine with
// a free slot, the least loaded by share.
type firstCome struct {
	balancer
	line []*call
}

func (f *firstCome) submit(received *call) {
	f.line = append(f.line, received)
	f.changed()
}

func (f *firstCome) waiting() int { return len(f.line) }

func (f *firstCome) changed() {
	for len(f.line) > 0 {
		engine, found := f.free()
		if !found {
			return
		}
		first := f.line[0]
		f.line = f.line[1:]
		f.daemon.place(first, engine, 0, first.promptTokens)
	}
}

func (f *firstCome) free() (best int, found bool) {
	least := 1.0
	for index := range f.daemon.run.engines {
		view := f.daemon.view(index)
		if share := float64(calls(view)) / float64(view.MaxRunning); share < least {
			best, least, found = index, share, true
		}
	}
	return best, found
}

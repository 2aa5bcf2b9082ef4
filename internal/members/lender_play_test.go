package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// TestOneLender plays machines that start within a second, register late, renew
// and read the list now and then, are frozen, cut off from the store, killed,
// ended as planned and started again, or join. In any stretch of time in which a
// program may come again, one process lends to it.
func TestOneLender(t *testing.T) {
	rapid.Check(t, playLenders)
}

const programComesAgainWithin = time.Minute

// lendingPlay is one play: the machines' latest processes, and those that were
// replaced but run on, since nobody told them.
type lendingPlay struct {
	*fleetWorld
	daemons []*daemon
	delays  map[*daemon]time.Duration // until the first registration
	former  []*daemon
	lent    loans
	// zoneCount is how many zones there are; one: it has no name.
	zoneCount int
}

func newLendingPlay(t *rapid.T) *lendingPlay { return newLendingPlayIn(t, 1) }

// newLendingPlayIn begins a play in so many zones.
func newLendingPlayIn(t *rapid.T, zones int) *lendingPlay {
	play := &lendingPlay{fleetWorld: newFleetWorld(), delays: map[*daemon]time.Duration{}, lent: loans{}, zoneCount: zones}
	const mostMachines = 7
	for machine := range mostMachines {
		if zones > 1 {
			play.zones[fmt.Sprint("m", machine)] = zoneNumber(rapid.IntRange(0, zones-1).Draw(t, fmt.Sprint("zone of ", machine)))
		}
	}
	for machine := range rapid.IntRange(1, 4).Draw(t, "founders") {
		play.now = play.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "apart")) * time.Millisecond / 2)
		founder := play.start(fmt.Sprint("m", machine), true)
		play.daemons = append(play.daemons, founder)
		play.delays[founder] = time.Duration(rapid.IntRange(0, 15000).Draw(t, "registers after")) * time.Millisecond
	}
	return play
}

func zoneNumber(number int) identity.Zone { return identity.Zone(fmt.Sprint("z", number)) }

func playLenders(t *rapid.T) {
	play := newLendingPlay(t)
	for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
		play.pause(t, step)
		play.registerDue()
		play.act(t, step)
		play.check(t)
	}
}

func (p *lendingPlay) pause(t *rapid.T, step int) {
	pauses := []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 20 * time.Second, 3 * time.Minute, 6 * time.Minute}
	p.now = p.now.Add(rapid.SampledFrom(pauses).Draw(t, fmt.Sprint("pause ", step)))
}

// registerDue registers the late founders as soon as they are due.
func (p *lendingPlay) registerDue() {
	for late, delay := range p.delays {
		if p.now.Sub(late.list.seasoning.started) >= delay {
			register(late)
			delete(p.delays, late)
		}
	}
}

func (p *lendingPlay) act(t *rapid.T, step int) {
	machine := rapid.IntRange(0, len(p.daemons)-1).Draw(t, fmt.Sprint("machine ", step))
	chosen := p.daemons[machine]
	switch rapid.IntRange(0, 11).Draw(t, fmt.Sprint("action ", step)) {
	case 0: // killed, or thought to be killed, and started again
		delete(p.delays, chosen)
		again := p.start(fmt.Sprint("m", machine), rapid.Bool().Draw(t, "told that it is the first start"))
		register(again)
		p.daemons[machine] = again
		if rapid.Bool().Draw(t, "the former runs on") {
			p.former = append(p.former, chosen)
		}
	default:
		p.actBut(t, step, machine)
	}
}

// actBut is any action but a start again.
func (p *lendingPlay) actBut(t *rapid.T, step, machine int) {
	chosen := p.daemons[machine]
	switch rapid.IntRange(1, 11).Draw(t, fmt.Sprint("other action ", step)) {
	case 1:
		if len(p.daemons) < 7 {
			joined := p.start(fmt.Sprint("m", len(p.daemons)), false)
			register(joined)
			p.daemons = append(p.daemons, joined)
		}
	case 2:
		chosen.cut = !chosen.cut
	case 3:
		if !chosen.cut {
			_ = chosen.lease.End(context.Background()) // rapid shows the play if a promise breaks
		}
	case 4, 5, 6: // others go on while the chosen one is frozen
		for _, each := range p.daemons {
			if each != chosen && p.delays[each] == 0 {
				each.step()
			}
		}
	case 7, 8:
		if p.delays[chosen] == 0 {
			chosen.step()
		}
	default:
		chosen.read()
	}
}

func (p *lendingPlay) check(t *rapid.T) {
	for _, each := range append(p.former, p.daemons...) {
		for _, program := range []string{"p", "q", "r", "s", "t", "u"} {
			p.lent.note(t, program, each.list, p.now)
		}
	}
}

// loans are when each process last lent to each program.
type loans map[string]map[*List]time.Time

func (l loans) note(t *rapid.T, program string, list *List, now time.Time) {
	if !list.MayLend(program) {
		return
	}
	if l[program] == nil {
		l[program] = map[*List]time.Time{}
	}
	l[program][list] = now
	for other, at := range l[program] {
		if other != list && now.Sub(at) <= programComesAgainWithin {
			t.Fatalf("%v lends to %s, and %v did %v ago", list.self, program, other.self, now.Sub(at))
		}
	}
}

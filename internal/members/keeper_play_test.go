package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneKeeper plays machines that start within a second, register late, renew and read the list now
// and then, are frozen, cut off from the store, killed, ended as planned and started again at their address or
// another one, or join, in one to three zones that appear and go with them. One process at most keeps a part, and since the moment that it
// names nobody else did.
func TestOneKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := &keepingPlay{lendingPlay: newLendingPlayIn(t, rapid.IntRange(1, 3).Draw(t, "zones")), kept: map[share]map[*List]time.Time{}}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			play.pause(t, step)
			if rapid.IntRange(0, 9).Draw(t, fmt.Sprint("long pause ", step)) == 0 {
				play.goOn(t, step)
			}
			play.registerDue()
			play.act(t, step)
			play.check(t)
		}
	})
}

// goOn lets so much time pass that a joined member settles or a layout changes; some daemons renew and read meanwhile.
func (p *keepingPlay) goOn(t *rapid.T, step int) {
	const looks = 8
	for range looks {
		p.now = p.now.Add(joinedTime / looks)
		for number, each := range p.daemons {
			if p.delays[each] == 0 && rapid.IntRange(0, 3).Draw(t, fmt.Sprint("goes on ", step, number)) > 0 {
				each.step()
			}
		}
		p.check(t)
	}
}

// keepingPlay is a lendingPlay whose machines may be started elsewhere.
type keepingPlay struct {
	*lendingPlay
	kept map[share]map[*List]time.Time // when each process last kept each part
}

func (p *keepingPlay) act(t *rapid.T, step int) {
	machine := rapid.IntRange(0, len(p.daemons)-1).Draw(t, fmt.Sprint("machine ", step))
	chosen := p.daemons[machine]
	switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("keeping action ", step)) {
	case 0:
		delete(p.delays, chosen)
		name, address := fmt.Sprint("m", machine), chosen.list.Self().Address
		moves := rapid.Bool().Draw(t, "moves")
		if moves {
			address = fmt.Sprint(name, "/", p.started)
			p.former = append(p.former, chosen) // it may run on there
		}
		if p.zoneCount > 1 && rapid.IntRange(0, 3).Draw(t, "moves to another zone") == 0 {
			p.zones[name] = zoneNumber(rapid.IntRange(0, p.zoneCount-1).Draw(t, "zone"))
		}
		again := p.startAt(name, address, rapid.Bool().Draw(t, "told that it is the first start"))
		if rapid.Bool().Draw(t, "registers at once") {
			register(again)
		} else {
			p.delays[again] = time.Duration(rapid.IntRange(0, 15000).Draw(t, "registers after")) * time.Millisecond
		}
		p.daemons[machine] = again
	case 1:
		if !chosen.cut {
			_ = chosen.lease.End(context.Background()) // rapid shows the play if a promise breaks
		}
	default:
		p.actBut(t, step, machine)
	}
}

func (p *keepingPlay) check(t *rapid.T) {
	for _, each := range append(p.former, p.daemons...) {
		for _, owner := range []string{"p", "q", "r"} {
			for part := range 4 {
				p.note(t, owner, part, each.list)
			}
		}
	}
}

func (p *keepingPlay) note(t *rapid.T, owner string, part int, list *List) {
	since, kept := list.Keeps(owner, part)
	if !kept {
		return
	}
	key := share{digestOf(owner), part}
	if p.kept[key] == nil {
		p.kept[key] = map[*List]time.Time{}
	}
	for other, at := range p.kept[key] {
		if other != list && at.After(since) {
			t.Fatalf("%v keeps %s/%d since %v, and %v did at %v", list.self, owner, part, since, other.self, at)
		}
	}
	p.kept[key][list] = p.now
}

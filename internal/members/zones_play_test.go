package members

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// cutKind is how calls over a cut end.
type cutKind int

const (
	cutSilent  cutKind = iota // no answer until the caller's time is over
	cutRefused                // an error at once
	cutOneWay                 // silent towards the cut zone; what comes from there arrives and is answered
)

// zonesPlay is 84 daemons in three zones of which one is cut off, in simulated time. Each gets a request every
// requestEvery, which asks the holders of its program until one answers, as the budgets' do.
type zonesPlay struct {
	now    time.Time
	kind   cutKind
	cut    bool
	lists  []*List
	due    map[time.Time][]func() // what happens at a moment, a multiple of playStep
	waited []requestWait
}

// requestWait is how often a request waited in vain.
type requestWait struct {
	at    time.Time
	zone  identity.Zone
	times int
}

const (
	playStep     = 10 * time.Millisecond
	holderWait   = 400 * time.Millisecond // package budget's wait for a holder
	requestEvery = 250 * time.Millisecond // of each daemon: 336 a second of all
	cutOff       = identity.Zone("c")
)

func newZonesPlay(kind cutKind) *zonesPlay {
	play := &zonesPlay{now: time.Unix(1000, 0), kind: kind, due: map[time.Time][]func(){}}
	var rows []state.Row
	const daemons = 84
	for number := range daemons {
		zone := []identity.Zone{"a", "b", cutOff}[number%3]
		self := Member{State: StateAlive, Process: identity.Process{Machine: identity.Machine(fmt.Sprintf("m%02d", number)), Zone: zone, Region: "r"}}
		list := NewList(self, func() time.Time { return play.now }, zap.NewNop())
		list.WatchZones = true
		play.lists = append(play.lists, list)
		value, err := Encode(self)
		Expect(err).NotTo(HaveOccurred())
		rows = append(rows, state.Row{Key: keyOf(Table, self.Process.Machine), Value: value, Version: 1})
	}
	for number, list := range play.lists {
		list.Replace(rows, 1)
		offset := requestEvery * time.Duration(number) / daemons
		play.at(offset, func() { play.request(list, 0) })
		prober := &Prober{List: list, asking: map[identity.Zone]bool{}}
		play.at(probeEvery*time.Duration(number)/daemons, func() { play.probe(prober) })
	}
	return play
}

func (p *zonesPlay) at(wait time.Duration, what func()) {
	moment := p.now.Add(wait).Truncate(playStep).Add(playStep)
	p.due[moment] = append(p.due[moment], what)
}

func (p *zonesPlay) run(lasting time.Duration) {
	for end := p.now.Add(lasting).Truncate(playStep); p.now.Before(end); {
		p.now = p.now.Truncate(playStep).Add(playStep)
		happens := p.due[p.now]
		delete(p.due, p.now)
		for _, what := range happens {
			what()
		}
	}
}

// answers tells whether a call gets an answer, and how long one that gets none waits.
func (p *zonesPlay) answers(from, to identity.Zone, wait time.Duration) (answered bool, after time.Duration) {
	over := p.cut && (from == cutOff) != (to == cutOff)
	switch {
	case !over, p.kind == cutOneWay && from == cutOff:
		return true, 0
	case p.kind == cutRefused:
		return false, 0
	default:
		return false, wait
	}
}

func (p *zonesPlay) request(list *List, number int) {
	p.at(requestEvery, func() { p.request(list, number+1) })
	own := list.Self()
	asked := &asking{play: p, list: list, homes: list.Homes(fmt.Sprint(own.Machine, "/", number)), began: p.now}
	asked.next(0)
}

// asking is one request at the holders of its program.
type asking struct {
	play  *zonesPlay
	list  *List
	homes Homes
	began time.Time
	times int
	// unanswered are zones in which a holder gave no answer.
	unanswered []identity.Zone
}

func (a *asking) next(order int) {
	own := a.list.Self()
	for ; order < a.homes.Len(); order++ {
		home := a.homes.At(order)
		if home.Process == own {
			break
		}
		if a.list.Silent(home) || slices.Contains(a.unanswered, home.Process.Zone) {
			continue
		}
		answered, after := a.play.answers(own.Zone, home.Process.Zone, holderWait)
		if answered {
			a.list.Trust(home)
			break
		}
		a.times++
		a.play.at(after, func() {
			a.unanswered = append(a.unanswered, home.Process.Zone)
			a.list.Missed(home)
			a.list.Suspect(home, time.Second)
			a.next(order + 1)
		})
		return
	}
	a.play.waited = append(a.play.waited, requestWait{a.began, own.Zone, a.times})
}

func (p *zonesPlay) probe(prober *Prober) {
	p.at(probeEvery, func() { p.probe(prober) })
	list := prober.List
	for _, due := range prober.due() {
		ends := time.Duration(0)
		for _, member := range due.members {
			answered, after := p.answers(list.Self().Zone, member.Process.Zone, probeWait)
			ends = max(ends, after)
			p.at(after, func() {
				if answered {
					list.Answered(member)
				} else {
					list.Missed(member)
				}
			})
		}
		p.at(ends, func() { delete(prober.asking, due.zone) })
	}
}

// most is how often any request waited that began in a stretch of time.
// No zones: those of all.
func (p *zonesPlay) most(from, to time.Time, zones ...identity.Zone) int {
	most := 0
	for _, each := range p.waited {
		if !each.at.Before(from) && each.at.Before(to) && (len(zones) == 0 || slices.Contains(zones, each.zone)) {
			most = max(most, each.times)
		}
	}
	return most
}

func (p *zonesPlay) silentLists() (count int) {
	for _, list := range p.lists {
		for _, living := range list.current.Load().away {
			if living[0].reach.silent.Load() {
				count++
			}
		}
	}
	return count
}

package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// TestQuotasUnderFaults plays fleets of 84 and 390 daemons whose tenants ask for up to ten times their limit, while daemons are
// killed and started again, cut off, lose answers after they gave a place, may not keep for a while, while claims move to others, quotas change and are
// known here and not there, and places are given back at any time. In each window no more requests run than the users' bound allows.
func TestQuotasUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newFaultyPlay(t).run() })
}

// faultyPlay is one play. What a draw picks is drawn by rapid; requests come by a seed, since there are many.
type faultyPlay struct {
	*keptFleet
	t        *rapid.T
	random   *rand.Rand
	quotas   []declaredQuota // the newest last
	knows    []int           // by daemon: the quota that it goes by
	pressed  float64
	places   []*givenPlace
	finished int // of places: they cannot be given back any more
}

// declaredQuota is a quota and when it stopped to be the newest.
type declaredQuota struct {
	tenant.Quota
	until time.Time // zero: it is the newest, or some daemon goes by it
}

// givenPlace is a place that a daemon got.
type givenPlace struct {
	at       time.Time
	daemon   identity.Machine // that took it
	taken    *quota.Taken
	returned bool
}

var playedQuotas = []tenant.Quota{{PerSecond: 7, Burst: 7}, {PerSecond: 1, Burst: 0}, {PerSecond: 60, Burst: 60}, {PerSecond: 0.2, Burst: 1}, {PerSecond: 20, Burst: 100}}

func newFaultyPlay(t *rapid.T) *faultyPlay {
	daemons := rapid.SampledFrom([]int{1, 3, 84, 390}).Draw(t, "daemons")
	made := &faultyPlay{
		keptFleet: newKeptFleet(daemons, time.Unix(1000, 0)), t: t, knows: make([]int, daemons),
		random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		quotas:  []declaredQuota{{Quota: rapid.SampledFrom(playedQuotas).Draw(t, "quota")}},
		pressed: rapid.SampledFrom([]float64{0.5, 1, 3, 10}).Draw(t, "pressed"),
	}
	made.pass(time.Duration(rapid.IntRange(0, 20).Draw(t, "has run for")) * time.Second)
	return made
}

func (p *faultyPlay) run() {
	for step := range rapid.IntRange(1, 60).Draw(p.t, "steps") {
		p.pass(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 300, 1000, 4000}).Draw(p.t, fmt.Sprint("pause ", step))) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(p.t, fmt.Sprint("action ", step)) {
		case 0:
			p.change(p.daemon(step).start)
		case 1:
			chosen := p.daemon(step)
			p.change(func() { chosen.silent = !chosen.silent })
		case 2:
			chosen := p.daemon(step)
			loses := rapid.IntRange(1, 5).Draw(p.t, fmt.Sprint("loses ", step))
			p.change(func() { chosen.loses = loses })
		case 3:
			p.change(p.moveClaims)
		case 4:
			p.declare(step)
		case 5:
			p.giveBack(rapid.IntRange(1, 30).Draw(p.t, fmt.Sprint("gives back ", step)))
		case 6:
			chosen := p.daemon(step)
			p.change(func() { chosen.suspended = !chosen.suspended })
		default:
			p.ask(step)
		}
	}
}

func (p *faultyPlay) daemon(step int) *keptDaemon {
	return p.daemons[rapid.IntRange(0, len(p.daemons)-1).Draw(p.t, fmt.Sprint("daemon ", step))]
}

// moveClaims gives all parts to other keepers; each knows that nobody else keeps them from now on.
func (p *faultyPlay) moveClaims() {
	p.salt++
	for _, each := range p.daemons {
		each.since = p.now()
	}
}

// declare makes a quota the newest; daemons hear of it one after the other.
func (p *faultyPlay) declare(step int) {
	p.quotas = append(p.quotas, declaredQuota{Quota: rapid.SampledFrom(playedQuotas).Draw(p.t, fmt.Sprint("quota ", step))})
}

// hear lets a daemon hear of the newest quota; a quota that no daemon goes by any more has ended.
func (p *faultyPlay) hear(daemon int) {
	p.knows[daemon] = len(p.quotas) - 1
	used := make([]bool, len(p.quotas))
	for _, known := range p.knows {
		used[known] = true
	}
	for number := range p.quotas[:len(p.quotas)-1] {
		if !used[number] && p.quotas[number].until.IsZero() {
			p.quotas[number].until = p.now()
		}
	}
}

// ask lets as many requests come at once as in a tenth of a second, or one second.
func (p *faultyPlay) ask(step int) {
	lasting := rapid.SampledFrom([]float64{0.1, 1}).Draw(p.t, fmt.Sprint("lasting ", step))
	newest := p.quotas[len(p.quotas)-1]
	for range 1 + int(newest.PerSecond*p.pressed*lasting) {
		daemon := p.random.IntN(len(p.daemons))
		if p.random.IntN(3) == 0 {
			p.hear(daemon)
		}
		known := p.knows[daemon]
		asked := quota.Request{Tenant: "t", Quota: p.quotas[known].Quota, Revision: uint64(known), UnderWay: p.random.IntN(5) > 0}
		if taken, err := p.daemons[daemon].limiter.Take(context.Background(), asked); err == nil {
			p.places = append(p.places, &givenPlace{at: p.now(), daemon: p.daemons[daemon].process.Machine, taken: taken})
		}
		p.pass(time.Duration(float64(time.Second) * lasting / (1 + newest.PerSecond*p.pressed)))
	}
	p.check()
}

// giveBack gives back some of the places of the last two windows.
func (p *faultyPlay) giveBack(most int) {
	for p.finished < len(p.places) && p.now().Sub(p.places[p.finished].at) > 2*length {
		p.finished++
	}
	for range most {
		if p.finished == len(p.places) {
			return
		}
		chosen := p.places[p.finished+p.random.IntN(len(p.places)-p.finished)]
		if !chosen.returned {
			chosen.returned = true
			chosen.taken.Return()
			if chosen.taken.Keeper != string(chosen.daemon) {
				<-p.gaveBack
			}
		}
	}
}

// check counts what ran in each window that ends now or ended lately.
func (p *faultyPlay) check() {
	var ran []time.Time
	for _, place := range p.places {
		if !place.returned {
			ran = append(ran, place.at)
		}
	}
	first := 0
	for last := range ran {
		for ran[last].Sub(ran[first]) > length {
			first++
		}
		if count, bound := last-first+1, p.bound(ran[first]); count > bound {
			p.t.Fatalf("%d requests ran from %v to %v, at most %d may", count, ran[first], ran[last], bound)
		}
	}
}

// bound is the users' bound by the highest quota that any daemon went by since a moment.
func (p *faultyPlay) bound(since time.Time) int {
	most := 0
	for _, declared := range p.quotas {
		if declared.until.IsZero() || declared.until.After(since) {
			most = max(most, usersBound(declared.Quota))
		}
	}
	return most
}

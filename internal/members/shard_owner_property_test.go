package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneShardOwner simulates machines in one to three zones. They start within a second or join
// later, register late, renew and read the list now and then, are suspended (also with the store's
// answer on its way), cut off from the store, killed, shut down, and restarted at the same or
// another address. At most one process may own a shard at a time, and no other process may have
// owned it since the time that OwnsShard returns.
func TestOneShardOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := &ownerSimulation{lenderSimulation: newZonedLenderSimulation(t, rapid.IntRange(1, 3).Draw(t, "zones")), lastOwned: map[shard]map[*List]time.Time{}}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			simulation.advanceClock(t, step)
			if rapid.IntRange(0, 9).Draw(t, fmt.Sprint("long pause ", step)) == 0 {
				simulation.runLongPause(t, step)
			}
			simulation.registerDueDaemons()
			simulation.runAction(t, step)
			simulation.checkOwners(t)
		}
	})
}

// runLongPause advances the clock by joinDelay, long enough for a layout change. Some daemons renew
// and read meanwhile.
func (s *ownerSimulation) runLongPause(t *rapid.T, step int) {
	const rounds = 8
	for range rounds {
		s.now = s.now.Add(joinDelay / rounds)
		for number, each := range s.daemons {
			if s.delays[each] == 0 && rapid.IntRange(0, 3).Draw(t, fmt.Sprint("steps during the pause ", step, number)) > 0 {
				each.step()
			}
		}
		s.checkOwners(t)
	}
}

// ownerSimulation is a lenderSimulation whose machines may be restarted at another address or in
// another zone.
type ownerSimulation struct {
	*lenderSimulation
	lastOwned map[shard]map[*List]time.Time // when each process last owned each shard
}

func (s *ownerSimulation) runAction(t *rapid.T, step int) {
	machine := rapid.IntRange(0, len(s.daemons)-1).Draw(t, fmt.Sprint("machine ", step))
	chosen := s.daemons[machine]
	switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("owner action ", step)) {
	case 0:
		delete(s.delays, chosen)
		name, address := fmt.Sprint("m", machine), chosen.list.Self().Address
		changesAddress := rapid.Bool().Draw(t, "moves")
		if changesAddress {
			address = fmt.Sprint(name, "/", s.started)
			s.replaced = append(s.replaced, chosen) // it may still run at the previous address
		}
		if s.zoneCount > 1 && rapid.IntRange(0, 3).Draw(t, "moves to another zone") == 0 {
			s.zones[name] = zoneName(rapid.IntRange(0, s.zoneCount-1).Draw(t, "zone"))
		}
		restarted := s.startDaemonAt(name, address, rapid.Bool().Draw(t, "first start flag is set"))
		if rapid.Bool().Draw(t, "registers at once") {
			registerOnce(restarted)
		} else {
			s.delays[restarted] = time.Duration(rapid.IntRange(0, 15000).Draw(t, "registers after")) * time.Millisecond
		}
		s.daemons[machine] = restarted
	case 1:
		if !chosen.isCutOff {
			_ = chosen.lease.WriteEnded(context.Background()) // an error is no failure; rapid prints the actions if a guarantee breaks
		}
	default:
		s.runOtherAction(t, step, machine)
	}
}

func (s *ownerSimulation) checkOwners(t *rapid.T) {
	for _, each := range append(s.replaced, s.daemons...) {
		for _, key := range []string{"p", "q", "r"} {
			for shardNumber := range 4 {
				s.checkShard(t, key, shardNumber, each.list)
			}
		}
	}
}

func (s *ownerSimulation) checkShard(t *rapid.T, key string, shardNumber int, list *List) {
	since, owned := list.OwnsShard(key, shardNumber)
	if !owned {
		return
	}
	target := shard{hashOf(key), shardNumber}
	if s.lastOwned[target] == nil {
		s.lastOwned[target] = map[*List]time.Time{}
	}
	for other, at := range s.lastOwned[target] {
		if other != list && at.After(since) {
			t.Fatalf("%v owns %s/%d since %v, but %v owned it at %v", list.self, key, shardNumber, since, other.self, at)
		}
	}
	s.lastOwned[target][list] = s.now
}

package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// TestOneLender simulates machines that start within a second or join later, register late, renew
// and read the list now and then, are suspended (also with the store's answer on its way), cut off
// from the store, killed, shut down and restarted. Only one process may lend to a program within
// programReturnTime.
func TestOneLender(t *testing.T) {
	rapid.Check(t, checkOneLender)
}

const programReturnTime = time.Minute

// lenderSimulation holds the latest process of each machine, and the replaced processes that still
// run.
type lenderSimulation struct {
	*testEnv
	daemons  []*daemon
	delays   map[*daemon]time.Duration // of daemons that haven't registered yet: time from start to registration
	replaced []*daemon
	lastLent lastLoans
	// zoneCount is the number of zones. If there is only one, its name is empty.
	zoneCount int
}

func newLenderSimulation(t *rapid.T) *lenderSimulation { return newZonedLenderSimulation(t, 1) }

// newZonedLenderSimulation returns a simulation with the given number of zones.
func newZonedLenderSimulation(t *rapid.T, zones int) *lenderSimulation {
	simulation := &lenderSimulation{testEnv: newTestEnv(), delays: map[*daemon]time.Duration{}, lastLent: lastLoans{}, zoneCount: zones}
	const maxMachines = 7
	for machine := range maxMachines {
		if zones > 1 {
			simulation.zones[fmt.Sprint("m", machine)] = zoneName(rapid.IntRange(0, zones-1).Draw(t, fmt.Sprint("zone of ", machine)))
		}
	}
	for machine := range rapid.IntRange(1, 4).Draw(t, "founders") {
		simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "apart")) * time.Millisecond / 2)
		founder := simulation.startDaemon(fmt.Sprint("m", machine), true)
		simulation.daemons = append(simulation.daemons, founder)
		simulation.delays[founder] = time.Duration(rapid.IntRange(0, 15000).Draw(t, "registers after")) * time.Millisecond
	}
	return simulation
}

func zoneName(number int) identity.Zone { return identity.Zone(fmt.Sprint("z", number)) }

func checkOneLender(t *rapid.T) {
	simulation := newLenderSimulation(t)
	for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
		simulation.advanceClock(t, step)
		simulation.registerDueDaemons()
		simulation.runAction(t, step)
		simulation.checkLenders(t)
	}
}

func (s *lenderSimulation) advanceClock(t *rapid.T, step int) {
	pauses := []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 20 * time.Second, 3 * time.Minute, 6 * time.Minute}
	s.now = s.now.Add(rapid.SampledFrom(pauses).Draw(t, fmt.Sprint("pause ", step)))
}

// registerDueDaemons registers the daemons whose registration delay has passed.
func (s *lenderSimulation) registerDueDaemons() {
	for late, delay := range s.delays {
		if s.now.Sub(late.list.localStatus.startedAt) >= delay {
			registerOnce(late)
			delete(s.delays, late)
		}
	}
}

func (s *lenderSimulation) runAction(t *rapid.T, step int) {
	machine := rapid.IntRange(0, len(s.daemons)-1).Draw(t, fmt.Sprint("machine ", step))
	chosen := s.daemons[machine]
	switch rapid.IntRange(0, 11).Draw(t, fmt.Sprint("action ", step)) {
	case 0: // the process is killed, or only assumed to be killed, and restarted
		delete(s.delays, chosen)
		restarted := s.startDaemon(fmt.Sprint("m", machine), rapid.Bool().Draw(t, "first start flag is set"))
		registerOnce(restarted)
		s.daemons[machine] = restarted
		if rapid.Bool().Draw(t, "the previous process still runs") {
			s.replaced = append(s.replaced, chosen)
		}
	default:
		s.runOtherAction(t, step, machine)
	}
}

// runOtherAction runs any action except a restart.
func (s *lenderSimulation) runOtherAction(t *rapid.T, step, machine int) {
	chosen := s.daemons[machine]
	switch rapid.IntRange(1, 13).Draw(t, fmt.Sprint("other action ", step)) {
	case 1:
		if len(s.daemons) < 7 {
			joined := s.startDaemon(fmt.Sprint("m", len(s.daemons)), false)
			registerOnce(joined)
			s.daemons = append(s.daemons, joined)
		}
	case 2:
		chosen.isCutOff = !chosen.isCutOff
	case 3:
		if !chosen.isCutOff {
			_ = chosen.lease.WriteEnded(context.Background()) // an error is no failure; rapid prints the actions if a guarantee breaks
		}
	case 4, 5, 6: // other daemons step while the chosen one is suspended
		for _, each := range s.daemons {
			if each != chosen && s.delays[each] == 0 {
				each.step()
			}
		}
	case 7, 8:
		if s.delays[chosen] == 0 {
			chosen.step()
		}
	case 9, 10: // the store's answer is on its way to the chosen daemon, or lies in its socket
		chosen.ask()
	default:
		chosen.read()
	}
}

func (s *lenderSimulation) checkLenders(t *rapid.T) {
	for _, each := range append(s.replaced, s.daemons...) {
		for _, program := range []string{"p", "q", "r", "s", "t", "u"} {
			s.lastLent.check(t, program, each.list, s.now)
		}
	}
}

// lastLoans holds the time when each process was last allowed to lend to each program.
type lastLoans map[string]map[*List]time.Time

func (l lastLoans) check(t *rapid.T, program string, list *List, now time.Time) {
	if !list.MayLend(program) {
		return
	}
	if l[program] == nil {
		l[program] = map[*List]time.Time{}
	}
	l[program][list] = now
	for other, at := range l[program] {
		if other != list && now.Sub(at) <= programReturnTime {
			t.Fatalf("%v lends to %s, but %v lent to it %v ago", list.self, program, other.self, now.Sub(at))
		}
	}
}

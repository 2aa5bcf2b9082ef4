package replay

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// Values of Fault.Daemon other than the name of a daemon.
const (
	targetLeader       = "leader"
	targetFollower     = "follower"
	targetSuccessor    = "successor"
	targetFirstRunning = "operators" // the first running daemon, which operators contact first
)

// stopTimeout is how long a graceful stop may take.
const stopTimeout = 90 * time.Second

// leavingBackEnd records when a back end was marked as leaving or drained.
type leavingBackEnd struct {
	name  string
	since time.Time
}

// injectFault injects the fault and schedules its end. p is the program of the
// step, or nil.
func (r *run) injectFault(ctx context.Context, fault Fault, p *programRun) error {
	r.progress("replay: fault %s at %s of %s call %d.", fault.Do, fault.At.Step, fault.At.Program, fault.At.Call)
	switch fault.Do {
	case ActionKill, ActionFreeze, ActionIsolate, ActionStop:
		return r.injectDaemonFault(ctx, fault, p)
	case ActionRules:
		return r.setRules(fault)
	case ActionRace:
		return r.raceOperators(ctx, fault)
	case ActionLeave:
		r.fleet.MarkLeaving(fault.Of)
		r.recordLeaving(fault.Of)
		return nil
	case ActionDrain:
		r.recordLeaving(fault.Of)
		return r.drainBackEnd(ctx, fault.Of)
	default:
		return eris.Errorf("unknown action %q", fault.Do)
	}
}

// injectDaemonFault chooses a daemon and applies the fault to it, while no other
// fault on a daemon is applied: otherwise two concurrent faults, one of which may
// overlap with others, could both find the fleet healthy.
func (r *run) injectDaemonFault(ctx context.Context, fault Fault, p *programRun) error {
	r.daemonFaultMutex.Lock()
	defer r.daemonFaultMutex.Unlock()
	if fault.needsHealthyFleet() {
		if err := r.awaitHealthyFleet(ctx); err != nil {
			return err
		}
	}
	daemon, err := r.resolveDaemon(ctx, fault, p)
	if err != nil {
		return err
	}
	return r.applyToDaemon(fault, daemon)
}

// resolveDaemon returns the daemon that the fault applies to.
func (r *run) resolveDaemon(ctx context.Context, fault Fault, p *programRun) (*fleet.Daemon, error) {
	switch fault.Daemon {
	case "", targetLeader:
		if p == nil {
			return r.daemonInZone(fault)
		}
		return r.leaderOf(ctx, p)
	case targetSuccessor:
		return r.successor(ctx, p)
	case targetFollower:
		return r.follower(ctx, p)
	case targetFirstRunning:
		return r.firstRunningDaemon()
	default:
		daemon := r.fleet.Daemon(fault.Daemon)
		if daemon == nil {
			return nil, eris.Errorf("no daemon has the name %q", fault.Daemon)
		}
		return daemon, nil
	}
}

// firstRunningDaemon returns the first running daemon.
func (r *run) firstRunningDaemon() (*fleet.Daemon, error) {
	for _, daemon := range r.fleet.Daemons {
		if daemon.IsRunning() {
			return daemon, nil
		}
	}
	return nil, eris.New("no daemon runs")
}

func (r *run) daemonInZone(fault Fault) (*fleet.Daemon, error) {
	for _, daemon := range r.fleet.Daemons {
		if daemon.Zone == fault.Zone {
			return daemon, nil
		}
	}
	return nil, eris.Errorf("no daemon for a %s fault: it belongs to no program, and its zone has no daemon", fault.Do)
}

// successor returns a daemon that may lead the program's shard after the current
// leader.
func (r *run) successor(ctx context.Context, p *programRun) (*fleet.Daemon, error) {
	shard, err := p.id.Shard()
	if err != nil {
		return nil, eris.Wrapf(err, "program %s", p.name)
	}
	return r.fleet.Successor(ctx, uint32(shard))
}

// follower returns a running daemon that does not lead the program's shard.
func (r *run) follower(ctx context.Context, p *programRun) (*fleet.Daemon, error) {
	leader, err := r.leaderOf(ctx, p)
	if err != nil {
		return nil, err
	}
	for _, daemon := range r.fleet.Daemons {
		if daemon != leader && daemon.IsRunning() {
			return daemon, nil
		}
	}
	return nil, eris.New("no follower runs")
}

// applyToDaemon applies the fault to the daemon and schedules its end.
func (r *run) applyToDaemon(fault Fault, daemon *fleet.Daemon) error {
	zone := fault.Zone
	if zone == "" {
		zone = daemon.Zone
	}
	r.progress("replay: the fault applies to daemon %s.", daemon.Name)
	switch fault.Do {
	case ActionKill:
		r.markUnavailableIfRestarting(fault, daemon)
		if err := daemon.Kill(); err != nil {
			return err
		}
		r.recordKill()
		r.restartLater(fault, daemon)
	case ActionFreeze:
		r.setUnavailable(daemon, true)
		if err := daemon.Suspend(); err != nil {
			return err
		}
		r.undoLater(fault.For, func() {
			_ = daemon.Resume() // fails if the process was killed meanwhile
			r.setUnavailable(daemon, false)
		})
	case ActionIsolate:
		r.isolate(fault, zone)
	case ActionStop:
		r.markUnavailableIfRestarting(fault, daemon)
		r.undos.Go(func() { r.stop(fault, daemon) })
	}
	return nil
}

func (r *run) recordKill() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kills = append(r.kills, time.Now())
}

// wasInterrupted reports whether a daemon was killed while the call was in
// progress.
func (r *run) wasInterrupted(res *result) bool {
	ended := res.startedAt.Add(time.Duration(res.elapsedMS) * time.Millisecond)
	return slices.ContainsFunc(r.kills, func(kill time.Time) bool {
		return !kill.Before(res.startedAt) && !kill.After(ended)
	})
}

// isolate disconnects the zone from the network. Its daemons are recorded as unavailable
// until the zone is connected again.
func (r *run) isolate(fault Fault, zone string) {
	setZoneUnavailable := func(unavailable bool) {
		for _, daemon := range r.fleet.Daemons {
			if daemon.Zone == zone {
				r.setUnavailable(daemon, unavailable)
			}
		}
	}
	setZoneUnavailable(true)
	r.fleet.Network.Isolate(zone)
	r.undoLater(fault.For, func() {
		r.fleet.Network.Heal(zone)
		setZoneUnavailable(false)
	})
}

func (r *run) markUnavailableIfRestarting(fault Fault, daemon *fleet.Daemon) {
	if fault.Restart {
		r.setUnavailable(daemon, true)
	}
}

func (r *run) restartLater(fault Fault, daemon *fleet.Daemon) {
	if !fault.Restart {
		return
	}
	r.undoLater(fault.For, func() {
		if err := daemon.Start(); err != nil {
			r.progress("replay: restart of a daemon failed: %v", err)
		}
		r.setUnavailable(daemon, false)
	})
}

// stop stops the daemon gracefully, with SIGTERM. Any exit code but 0 is a finding.
func (r *run) stop(fault Fault, daemon *fleet.Daemon) {
	code, err := daemon.Stop(stopTimeout)
	if err != nil || code != 0 {
		r.mutex.Lock()
		r.stopFailures = append(r.stopFailures, eris.Errorf("%s: exit code %d, %v", daemon.Name, code, err).Error())
		r.mutex.Unlock()
	}
	r.restartLater(fault, daemon)
}

// undoLater runs undo after the delay; with a zero delay, when all programs are
// done.
func (r *run) undoLater(delay time.Duration, undo func()) {
	if delay == 0 {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.undoAtEnd = append(r.undoAtEnd, undo)
		return
	}
	r.undos.Go(func() {
		time.Sleep(delay)
		undo()
	})
}

// setRules adds the fault rules to the stand-ins that the fault names, and
// schedules their removal.
func (r *run) setRules(fault Fault) error {
	targets := r.standInFaults(fault.Of)
	if len(targets) == 0 {
		return eris.Errorf("no stand-in has the name %q", fault.Of)
	}
	for _, faults := range targets {
		for _, rule := range fault.Rules {
			faults.Add(rule)
		}
	}
	r.undoLater(fault.For, func() {
		for _, faults := range targets {
			for _, rule := range fault.Rules {
				faults.Remove(rule.Name)
			}
		}
	})
	return nil
}

func (r *run) standInFaults(name string) []*standin.Faults {
	switch name {
	case "store":
		return []*standin.Faults{r.fleet.Platform.Store.Faults}
	case "machines":
		return []*standin.Faults{r.fleet.Platform.Machines.Faults}
	case "engines":
		var all []*standin.Faults
		for _, engine := range r.fleet.Engines {
			all = append(all, engine.Faults)
		}
		return all
	default:
		return r.backEndFaults(name)
	}
}

func (r *run) recordLeaving(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving = append(r.leaving, leavingBackEnd{name: name, since: time.Now()})
}

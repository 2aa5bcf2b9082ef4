package replay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
)

const (
	recoveryTimeout = 45 * time.Second // how long a fault waits for the fleet to recover from earlier ones
	describeTimeout = 5 * time.Second  // for all status requests of describeFleet
)

// statuses holds the status that each running daemon reported, by machine.
type statuses map[string]*operatorv1.GetStatusResponse

// awaitHealthyFleet waits until the fleet is healthy, so that a fault does not overlap
// with an earlier one, also on a slow machine. It returns an error after recoveryTimeout.
func (r *run) awaitHealthyFleet(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for {
		err := r.checkHealthy(bounded)
		if err == nil {
			return nil
		}
		if !sleep(bounded, retryInterval) {
			return eris.Wrapf(err, "the fleet did not recover before the next fault\n%s", r.describeFleet())
		}
	}
}

// runExclusively runs inject, which injects the faults. If one of them needs a
// healthy fleet, it first waits for that, and excludes other such faults until
// inject returns: otherwise two programs could find the fleet healthy at the same
// time, and together make two replicas of a group unavailable.
func (r *run) runExclusively(ctx context.Context, faults []Fault, inject func() error) error {
	if !slices.ContainsFunc(faults, Fault.needsHealthyFleet) {
		return inject()
	}
	release, err := r.acquireExclusive(ctx)
	if err != nil {
		return err
	}
	defer release()
	if err := r.awaitHealthyFleet(ctx); err != nil {
		return err
	}
	return inject()
}

// acquireExclusive waits until runExclusively injects no other fault that needs a
// healthy fleet. The caller must call release after the injection.
func (r *run) acquireExclusive(ctx context.Context) (release func(), err error) {
	select {
	case r.exclusive <- struct{}{}:
		return func() { <-r.exclusive }, nil
	case <-ctx.Done():
		return nil, eris.Wrap(context.Cause(ctx), "wait until other faults are injected")
	}
}

// checkHealthy returns nil if the fleet is healthy: no daemon is unavailable because of
// a fault, every running daemon has confirmed its configuration and lists exactly the
// running processes as alive, and every shard is led by one of them. Otherwise the
// error states what is missing.
func (r *run) checkHealthy(ctx context.Context) error {
	all := statuses{}
	for _, daemon := range r.fleet.Daemons {
		if r.isUnavailable(daemon) {
			return eris.Errorf("%s is unavailable because of a fault", daemon.Name)
		}
		if !daemon.IsRunning() {
			continue
		}
		status, err := r.fleet.Status(ctx, daemon)
		if err != nil {
			return err
		}
		all[daemon.Name] = status
	}
	return all.checkHealthy(r.fleet.Deployment.Shards)
}

func (all statuses) checkHealthy(shards int) error {
	for name, status := range all {
		if !status.ConfigurationConfirmed {
			return eris.Errorf("%s has not confirmed its configuration", name)
		}
		if err := all.checkMembers(name, status); err != nil {
			return err
		}
		for _, group := range status.Groups {
			if err := all.checkGroup(name, group); err != nil {
				return err
			}
		}
	}
	for shard := 1; shard <= shards; shard++ {
		if !slices.ContainsFunc(all.values(), func(status *operatorv1.GetStatusResponse) bool { return hasShard(status, uint32(shard)) }) { //nolint:gosec // few shards
			return eris.Errorf("no daemon knows shard %d", shard)
		}
	}
	return nil
}

func (all statuses) values() []*operatorv1.GetStatusResponse {
	var list []*operatorv1.GetStatusResponse
	for _, status := range all {
		list = append(list, status)
	}
	return list
}

// checkMembers checks that the members that a daemon sees alive are exactly the
// current processes.
func (all statuses) checkMembers(name string, status *operatorv1.GetStatusResponse) error {
	alive := map[string]uint64{}
	for _, member := range status.Members {
		if member.State != operatorv1.MemberState_MEMBER_STATE_ALIVE {
			continue
		}
		current, isRunning := all[member.Machine]
		if !isRunning || current.Incarnation != member.Incarnation {
			return eris.Errorf("%s sees %s/%d alive, but that process has ended", name, member.Machine, member.Incarnation)
		}
		alive[member.Machine] = member.Incarnation
	}
	for machine := range all {
		if alive[machine] == 0 {
			return eris.Errorf("%s does not see the current process of %s alive", name, machine)
		}
	}
	return nil
}

// checkGroup checks the group of one shard as one daemon sees it: its leader is a
// current process, and that process also considers itself the leader.
func (all statuses) checkGroup(name string, group *operatorv1.Group) error {
	leader := all[group.Leader]
	if !group.Normal || leader == nil || len(group.ReplicaIncarnations) != 1 || leader.Incarnation != group.ReplicaIncarnations[0] {
		return eris.Errorf("%s sees shard %d without a current leader: leader %q, replica incarnations %v", name, group.Shard, group.Leader, group.ReplicaIncarnations)
	}
	if !slices.ContainsFunc(leader.Groups, func(own *operatorv1.Group) bool {
		return own.Shard == group.Shard && own.Leader == group.Leader
	}) {
		return eris.Errorf("%s does not know that it leads shard %d", group.Leader, group.Shard)
	}
	return nil
}

func hasShard(status *operatorv1.GetStatusResponse, shard uint32) bool {
	return slices.ContainsFunc(status.Groups, func(group *operatorv1.Group) bool { return group.Shard == shard })
}

// describeFleet returns the state of the fleet for messages, one line per daemon.
func (r *run) describeFleet() string {
	ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
	defer cancel()
	var text strings.Builder
	for _, daemon := range r.fleet.Daemons {
		fmt.Fprintf(&text, "%s: alive %t, unavailable %t", daemon.Name, daemon.IsRunning(), r.isUnavailable(daemon))
		status, err := r.fleet.Status(ctx, daemon)
		if err != nil {
			fmt.Fprintf(&text, ", status: %v\n", err)
			continue
		}
		fmt.Fprintf(&text, ", incarnation %d, revision %d, confirmed %t", status.Incarnation, status.ConfigurationRevision, status.ConfigurationConfirmed)
		for _, member := range status.Members {
			fmt.Fprintf(&text, "; %s/%d %s", member.Machine, member.Incarnation, member.State)
		}
		for _, group := range status.Groups {
			fmt.Fprintf(&text, "; shard %d term %d leader %q", group.Shard, group.Epoch, group.Leader)
		}
		text.WriteString("\n")
	}
	return text.String()
}

// needsHealthyFleet reports whether the fault makes daemons unavailable and must
// not overlap with another such fault.
func (f Fault) needsHealthyFleet() bool {
	switch f.Do {
	case ActionKill, ActionFreeze, ActionIsolate, ActionStop:
		return !f.Overlap
	default:
		return false
	}
}

// setUnavailable records that a fault makes the daemon unavailable for a time or, if
// unavailable is false, that such a fault has ended.
func (r *run) setUnavailable(daemon *fleet.Daemon, unavailable bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.unavailable == nil {
		r.unavailable = map[*fleet.Daemon]int{}
	}
	if unavailable {
		r.unavailable[daemon]++
		return
	}
	r.unavailable[daemon]--
}

// isUnavailable reports whether a fault makes the daemon unavailable for a time.
func (r *run) isUnavailable(daemon *fleet.Daemon) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unavailable[daemon] > 0
}

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
	wholeTimeout    = 45 * time.Second // how long the fleet may take to heal between two faults
	describeTimeout = 5 * time.Second
)

// statuses are what the daemons that run know, by machine.
type statuses map[string]*operatorv1.GetStatusResponse

// awaitWhole waits until the fleet has healed from former faults, so that
// faults of one trace come one after the other, whatever the machine's speed.
func (r *run) awaitWhole(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	for {
		err := r.whole(bounded)
		if err == nil {
			return nil
		}
		if !pause(bounded, retryPause) {
			return eris.Wrapf(err, "the fleet did not heal before the next fault\n%s", r.describe())
		}
	}
}

// oneByOne runs what brings about the faults. One that needs a whole fleet
// has it to itself from the wait to the strike: else two programs could find
// the fleet whole at once, and take two replicas of one group away.
func (r *run) oneByOne(ctx context.Context, faults []Fault, strike func() error) error {
	if !slices.ContainsFunc(faults, Fault.needsWhole) {
		return strike()
	}
	done, err := r.turn(ctx)
	if err != nil {
		return err
	}
	defer done()
	if err := r.awaitWhole(ctx); err != nil {
		return err
	}
	return strike()
}

// turn waits until no other fault that needs a whole fleet is under way.
func (r *run) turn(ctx context.Context) (done func(), err error) {
	select {
	case r.striking <- struct{}{}:
		return func() { <-r.striking }, nil
	case <-ctx.Done():
		return nil, eris.Wrap(context.Cause(ctx), "wait for the turn of a fault")
	}
}

// whole says what is missing: each daemon that runs sees the present process
// of each other alive and none of the former ones, and each shard has a
// present leader.
func (r *run) whole(ctx context.Context) error {
	all := statuses{}
	for _, daemon := range r.fleet.Daemons {
		if r.comesBack(daemon) {
			return eris.Errorf("%s is away", daemon.Name)
		}
		if !daemon.Alive() {
			continue
		}
		status, err := r.fleet.Status(ctx, daemon)
		if err != nil {
			return err
		}
		all[daemon.Name] = status
	}
	return all.whole(r.fleet.Deployment.Shards)
}

func (all statuses) whole(shards int) error {
	for name, status := range all {
		if !status.ConfigurationConfirmed {
			return eris.Errorf("%s has not confirmed its configuration", name)
		}
		if err := all.membersAt(name, status); err != nil {
			return err
		}
		for _, group := range status.Groups {
			if err := all.group(name, group); err != nil {
				return err
			}
		}
	}
	for shard := 1; shard <= shards; shard++ {
		if !slices.ContainsFunc(all.list(), func(status *operatorv1.GetStatusResponse) bool { return holds(status, uint32(shard)) }) { //nolint:gosec // few shards
			return eris.Errorf("no daemon knows shard %d", shard)
		}
	}
	return nil
}

func (all statuses) list() []*operatorv1.GetStatusResponse {
	var list []*operatorv1.GetStatusResponse
	for _, status := range all {
		list = append(list, status)
	}
	return list
}

// membersAt compares the members as seen at a daemon with the processes there are.
func (all statuses) membersAt(name string, status *operatorv1.GetStatusResponse) error {
	alive := map[string]uint64{}
	for _, member := range status.Members {
		if member.State != operatorv1.MemberState_MEMBER_STATE_ALIVE {
			continue
		}
		present, runs := all[member.Machine]
		if !runs || present.Incarnation != member.Incarnation {
			return eris.Errorf("%s sees %s/%d alive, which is gone", name, member.Machine, member.Incarnation)
		}
		alive[member.Machine] = member.Incarnation
	}
	for machine := range all {
		if alive[machine] == 0 {
			return eris.Errorf("%s does not see the present process of %s alive", name, machine)
		}
	}
	return nil
}

// group checks one shard as seen at a daemon: a present process leads it, and
// that process knows so too.
func (all statuses) group(name string, group *operatorv1.Group) error {
	leader := all[group.Leader]
	if !group.Normal || leader == nil || len(group.ReplicaIncarnations) != 1 || leader.Incarnation != group.ReplicaIncarnations[0] {
		return eris.Errorf("%s sees shard %d led by %q %v", name, group.Shard, group.Leader, group.ReplicaIncarnations)
	}
	if !slices.ContainsFunc(leader.Groups, func(own *operatorv1.Group) bool {
		return own.Shard == group.Shard && own.Leader == group.Leader
	}) {
		return eris.Errorf("%s does not know that it leads shard %d", group.Leader, group.Shard)
	}
	return nil
}

func holds(status *operatorv1.GetStatusResponse, shard uint32) bool {
	return slices.ContainsFunc(status.Groups, func(group *operatorv1.Group) bool { return group.Shard == shard })
}

// describe tells the state of the fleet for a message, one line for each daemon.
func (r *run) describe() string {
	ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
	defer cancel()
	var text strings.Builder
	for _, daemon := range r.fleet.Daemons {
		fmt.Fprintf(&text, "%s: alive %t, away %t", daemon.Name, daemon.Alive(), r.comesBack(daemon))
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

// needsWhole says whether the fault takes a daemon or a zone away and may
// not come on top of another.
func (f Fault) needsWhole() bool {
	switch f.Do {
	case ActionKill, ActionFreeze, ActionIsolate, ActionStop:
		return !f.Overlap
	default:
		return false
	}
}

// expectBack notes that a daemon is away and will be back.
func (r *run) expectBack(daemon *fleet.Daemon, coming bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.returning == nil {
		r.returning = map[*fleet.Daemon]int{}
	}
	if coming {
		r.returning[daemon]++
		return
	}
	r.returning[daemon]--
}

func (r *run) comesBack(daemon *fleet.Daemon) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.returning[daemon] > 0
}

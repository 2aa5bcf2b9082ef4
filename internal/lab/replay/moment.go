package replay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

const (
	momentPoll  = 2 * time.Millisecond
	streamParts = 3 // chunks after which a stream is held at StepMidStream
)

// withFaults submits the call and brings about the faults at its moments, in
// the order of the steps. A moment is learned from the outside: stand-ins hold
// the call at the step until the fault has come.
func (r *run) withFaults(ctx context.Context, one *played, submission *submission, together int) (result, error) {
	here := r.faultsOf(one.name, int(submission.sequence))
	var armed []*armedMoment
	for number, fault := range here {
		armed = append(armed, r.arm(fault, submission, number))
	}
	defer func() {
		for _, moment := range armed {
			moment.disarm()
		}
	}()
	during := here
	if first := slices.IndexFunc(here, func(fault Fault) bool { return fault.At.Step == StepAnswered }); first >= 0 {
		during = here[:first]
	}
	learned := make(chan result, 1)
	unread := len(during) < len(here)
	over := make(chan struct{})
	go func() {
		defer close(over)
		if unread {
			learned <- submission.unread(ctx)
			return
		}
		learned <- submitTogether(ctx, submission, together)
	}()
	for number, fault := range during {
		err := armed[number].reached(ctx, over)
		if errors.Is(err, errCallOver) && fault.IfReached {
			r.progress("replay: fault %s did not come: %s call %d ended before.", fault.Do, one.name, submission.sequence)
			break
		}
		if errors.Is(err, errCallOver) {
			return result{}, eris.Wrapf(err, "fault %s, the caller learned %+v", fault.Do, <-learned)
		}
		if err != nil {
			return result{}, err
		}
		if err := r.bringAbout(ctx, fault, one); err != nil {
			return result{}, err
		}
		pause(ctx, fault.Release)
		armed[number].disarm()
	}
	found := <-learned
	if !unread || found.state == outcomeNone {
		return found, nil
	}
	for _, fault := range here[len(during):] {
		if err := r.bringAbout(ctx, fault, one); err != nil {
			return result{}, err
		}
	}
	return submission.finish(ctx), nil
}

// faultsOf gives the faults at a call, in the order of the steps: at a later
// one the call comes only once it is let go from the earlier.
func (r *run) faultsOf(program string, call int) []Fault {
	var found []Fault
	for _, fault := range r.trace.Faults {
		if fault.At.Program == program && fault.At.Call == call {
			found = append(found, fault)
		}
	}
	slices.SortStableFunc(found, func(first, second Fault) int {
		return slices.Index(steps, first.At.Step) - slices.Index(steps, second.At.Step)
	})
	return found
}

// faultsAt brings about the faults at moments outside calls.
func (r *run) faultsAt(ctx context.Context, moment Moment, one *played) error {
	for _, fault := range r.trace.Faults {
		if fault.At != moment {
			continue
		}
		strike := func() error { return r.bringAbout(ctx, fault, one) }
		if err := r.oneByOne(ctx, []Fault{fault}, strike); err != nil {
			return err
		}
	}
	return nil
}

// armedMoment is a rule on all back ends that a call may reach.
type armedMoment struct {
	name   string
	rules  []*standin.Faults
	isMet  func(standin.RuleState) bool
	target string
}

// arm sets the rule that shows the step of the call from the outside.
func (r *run) arm(fault Fault, submission *submission, number int) *armedMoment {
	moment := &armedMoment{
		name:   fmt.Sprintf("%s/%d/%d", submission.program, submission.sequence, number),
		target: fmt.Sprintf("%s/%d", submission.program, submission.sequence),
		isMet:  func(state standin.RuleState) bool { return state.Holding > 0 },
	}
	rule := standin.Rule{Name: moment.name, Match: moment.target + "/", Action: standin.ActionHold}
	switch fault.At.Step {
	case StepAccepted:
		rule.Point = standin.PointBefore
		rule.Action = standin.ActionRefuse
		moment.isMet = func(state standin.RuleState) bool { return state.Met > 0 }
	case StepDispatched:
		rule.Point = standin.PointBefore
	case StepMidStream:
		rule.Point = standin.PointStream
		rule.AfterChunks = streamParts
	case StepExecuted:
		rule.Point = standin.PointAfter
	default:
		return moment
	}
	moment.rules = r.backEnds(submission.body.Name)
	for _, faults := range moment.rules {
		faults.Add(rule)
	}
	return moment
}

// backEnds are the faults of all back ends of a model, service or tool.
func (r *run) backEnds(name string) []*standin.Faults {
	var found []*standin.Faults
	for _, engine := range r.fleet.Engines {
		if engine.Model == name || engine.Name == name {
			found = append(found, engine.Faults)
		}
	}
	for _, replica := range r.fleet.Replicas {
		if replica.Of == name || replica.Name == name {
			found = append(found, replica.Faults)
		}
	}
	return found
}

// errCallOver says that a call ended without coming to the step of a fault.
var errCallOver = errors.New("the call ended before the moment of a fault")

// reached waits until a back end has met the rule, or the call is over.
func (m *armedMoment) reached(ctx context.Context, over <-chan struct{}) error {
	for !m.met() {
		select {
		case <-over:
			if m.met() {
				return nil
			}
			return eris.Wrapf(errCallOver, "call %s", m.target)
		case <-ctx.Done():
			return eris.Errorf("the moment of a fault did not come: call %s", m.target)
		case <-time.After(momentPoll):
		}
	}
	return nil
}

func (m *armedMoment) met() bool {
	for _, faults := range m.rules {
		for _, state := range faults.List().Rules {
			if state.Name == m.name && m.isMet(state) {
				return true
			}
		}
	}
	return false
}

func (m *armedMoment) disarm() {
	for _, faults := range m.rules {
		faults.Remove(m.name)
	}
}

// leaderOf finds the leader of the program's shard.
func (r *run) leaderOf(ctx context.Context, one *played) (*fleet.Daemon, error) {
	shard, err := one.id.Shard()
	if err != nil {
		return nil, eris.Wrapf(err, "program %s", one.name)
	}
	var leader *fleet.Daemon
	for {
		leader, err = r.fleet.Leader(ctx, uint32(shard))
		if err == nil && leader.Alive() {
			return leader, nil
		}
		if !pause(ctx, momentPoll) {
			return nil, eris.Errorf("no living leader of %s: %s", one.name, strings.TrimSpace(fmt.Sprint(err)))
		}
	}
}

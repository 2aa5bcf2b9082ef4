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
	pollInterval    = 2 * time.Millisecond
	midStreamChunks = 3 // chunks sent before a stream is held at StepMidStream
)

// submitWithFaults makes count concurrent submissions of the call and injects its faults
// in the order of their steps. Stand-ins hold or refuse the call at a step until the
// fault is injected. If the call has a fault at StepAnswered, it is submitted once, and
// the answer is read only after that fault is injected.
func (r *run) submitWithFaults(ctx context.Context, p *programRun, submission *submission, count int) (result, error) {
	faults := r.faultsOfCall(p.name, int(submission.sequence))
	var watches []*stepWatch
	for index, fault := range faults {
		watches = append(watches, r.watchStep(fault, submission, index))
	}
	defer func() {
		for _, watch := range watches {
			watch.remove()
		}
	}()
	beforeAnswer := faults
	if first := slices.IndexFunc(faults, func(fault Fault) bool { return fault.At.Step == StepAnswered }); first >= 0 {
		beforeAnswer = faults[:first]
	}
	results := make(chan result, 1)
	awaitUnread := len(beforeAnswer) < len(faults)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if awaitUnread {
			results <- submission.submitUnread(ctx)
			return
		}
		results <- submitConcurrently(ctx, submission, count)
	}()
	for index, fault := range beforeAnswer {
		err := watches[index].awaitReached(ctx, ended)
		if errors.Is(err, errCallEnded) && fault.IfReached {
			r.progress("replay: fault %s was skipped: %s call %d ended before its step.", fault.Do, p.name, submission.sequence)
			break
		}
		if errors.Is(err, errCallEnded) {
			return result{}, eris.Wrapf(err, "fault %s, the result of the call is %+v", fault.Do, <-results)
		}
		if err != nil {
			return result{}, err
		}
		if err := r.injectFault(ctx, fault, p); err != nil {
			return result{}, err
		}
		sleep(ctx, fault.Release)
		watches[index].remove()
	}
	res := <-results
	if !awaitUnread || res.state == outcomeNone {
		return res, nil
	}
	for _, fault := range faults[len(beforeAnswer):] {
		if err := r.injectFault(ctx, fault, p); err != nil {
			return result{}, err
		}
	}
	return submission.finish(ctx), nil
}

// faultsOfCall returns the faults of a call, ordered by step.
func (r *run) faultsOfCall(program string, call int) []Fault {
	var found []Fault
	for _, fault := range r.trace.Faults {
		if fault.At.Program == program && fault.At.Call == call {
			found = append(found, fault)
		}
	}
	slices.SortStableFunc(found, func(first, second Fault) int {
		return slices.Index(stepOrder, first.At.Step) - slices.Index(stepOrder, second.At.Step)
	})
	return found
}

// injectFaultsAt injects the faults of an injection point that belongs to no call: StepStart,
// StepCreated or StepEnded. p is the program of the point, or nil for StepStart.
func (r *run) injectFaultsAt(ctx context.Context, point InjectionPoint, p *programRun) error {
	for _, fault := range r.trace.Faults {
		if fault.At != point {
			continue
		}
		inject := func() error { return r.injectFault(ctx, fault, p) }
		if err := r.runExclusively(ctx, []Fault{fault}, inject); err != nil {
			return err
		}
	}
	return nil
}

// stepWatch detects that a call reaches a step. It consists of a rule at each back end
// of the call; the rule holds or refuses the call at the step.
type stepWatch struct {
	name     string
	backEnds []*standin.Faults
	matches  func(standin.RuleState) bool
	callID   string
}

// watchStep adds the rule for the step of the fault to the back ends of the call.
// For StepAnswered there is no rule.
func (r *run) watchStep(fault Fault, submission *submission, index int) *stepWatch {
	watch := &stepWatch{
		name:    fmt.Sprintf("%s/%d/%d", submission.program, submission.sequence, index),
		callID:  fmt.Sprintf("%s/%d", submission.program, submission.sequence),
		matches: func(state standin.RuleState) bool { return state.Holding > 0 },
	}
	rule := standin.Rule{Name: watch.name, Match: watch.callID + "/", Action: standin.ActionHold}
	switch fault.At.Step {
	case StepAccepted:
		rule.Point = standin.PointBefore
		rule.Action = standin.ActionRefuse
		watch.matches = func(state standin.RuleState) bool { return state.Met > 0 }
	case StepDispatched:
		rule.Point = standin.PointBefore
	case StepMidStream:
		rule.Point = standin.PointStream
		rule.AfterChunks = midStreamChunks
	case StepExecuted:
		rule.Point = standin.PointAfter
	default:
		return watch
	}
	watch.backEnds = r.backEndFaults(submission.body.Name)
	for _, faults := range watch.backEnds {
		faults.Add(rule)
	}
	return watch
}

// backEndFaults returns the fault rules of the back ends that have the name, or that serve
// the model, service or tool with the name.
func (r *run) backEndFaults(name string) []*standin.Faults {
	var found []*standin.Faults
	for _, engine := range r.fleet.Engines {
		if engine.Model == name || engine.Name == name {
			found = append(found, engine.Faults)
		}
	}
	for _, replica := range r.fleet.Replicas {
		if replica.ServiceName == name || replica.Name == name {
			found = append(found, replica.Faults)
		}
	}
	return found
}

// errCallEnded means that a call ended before it reached the step of a fault.
var errCallEnded = errors.New("the call ended before the step of a fault")

// awaitReached waits until the call has reached the step. If the call ends before, the
// error wraps errCallEnded; if ctx is done before, it does not.
func (m *stepWatch) awaitReached(ctx context.Context, ended <-chan struct{}) error {
	for !m.isReached() {
		select {
		case <-ended:
			if m.isReached() {
				return nil
			}
			return eris.Wrapf(errCallEnded, "call %s", m.callID)
		case <-ctx.Done():
			return eris.Errorf("call %s did not reach the step of a fault in time", m.callID)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (m *stepWatch) isReached() bool {
	for _, faults := range m.backEnds {
		for _, state := range faults.List().Rules {
			if state.Name == m.name && m.matches(state) {
				return true
			}
		}
	}
	return false
}

func (m *stepWatch) remove() {
	for _, faults := range m.backEnds {
		faults.Remove(m.name)
	}
}

// leaderOf waits until the program's shard has a running leader and returns it.
func (r *run) leaderOf(ctx context.Context, p *programRun) (*fleet.Daemon, error) {
	shard, err := p.id.Shard()
	if err != nil {
		return nil, eris.Wrapf(err, "program %s", p.name)
	}
	var leader *fleet.Daemon
	for {
		leader, err = r.fleet.Leader(ctx, uint32(shard))
		if err == nil && leader.IsRunning() {
			return leader, nil
		}
		if !sleep(ctx, pollInterval) {
			return nil, eris.Errorf("no running leader for program %s: %s", p.name, strings.TrimSpace(fmt.Sprint(err)))
		}
	}
}

package program

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// event moves a program or a call from one state to the next.
type event string

// The events of a call and of a program.
const (
	eventDispatch  event = "dispatch" // an attempt is committed
	eventRelease   event = "release"  // the last unreleased attempt is proven never run
	eventAnswer    event = "answer"   // an attempt answered
	eventNotRun    event = "give-up-not-run"
	eventFail      event = "give-up-failed"
	eventLoseTrack event = "give-up-unknown"
	eventEnd       event = "end"
)

// The lifecycles are declared with looplab/fsm. One fsm object for each call
// would cost more memory than the call, so the table of transitions is
// derived from one object at start and shared by all.
var (
	callLifecycle = deriveTransitions(CallAccepted, fsm.Events{
		{Name: string(eventDispatch), Src: states(CallAccepted, CallDispatched), Dst: string(CallDispatched)},
		{Name: string(eventRelease), Src: states(CallDispatched), Dst: string(CallAccepted)},
		{Name: string(eventAnswer), Src: states(CallDispatched), Dst: string(CallAnswered)},
		{Name: string(eventNotRun), Src: states(CallAccepted), Dst: string(CallNotRun)},
		{Name: string(eventFail), Src: states(CallDispatched), Dst: string(CallFailed)},
		{Name: string(eventLoseTrack), Src: states(CallDispatched), Dst: string(CallUnknown)},
	})
	programLifecycle = deriveTransitions(ProgramOpen, fsm.Events{
		{Name: string(eventEnd), Src: states(ProgramOpen), Dst: string(ProgramEnded)},
	})
)

// transitions maps a state and an event to the next state.
type transitions[S ~string] map[S]map[event]S

func states[S ~string](all ...S) []string {
	names := make([]string, len(all))
	for i, state := range all {
		names[i] = string(state)
	}
	return names
}

// deriveTransitions runs each event from each state of the declared machine.
func deriveTransitions[S ~string](initial S, events fsm.Events) transitions[S] {
	machine := fsm.NewFSM(string(initial), events, fsm.Callbacks{})
	table := make(transitions[S])
	for _, declared := range events {
		for _, source := range declared.Src {
			machine.SetState(source)
			err := machine.Event(context.Background(), declared.Name)
			if err != nil && !isUnmoved(err) {
				panic(err) // the declaration is a constant
			}
			if table[S(source)] == nil {
				table[S(source)] = make(map[event]S)
			}
			table[S(source)][event(declared.Name)] = S(machine.Current())
		}
	}
	return table
}

// isUnmoved says that the event led back to the state it came from.
func isUnmoved(err error) bool {
	var unmoved fsm.NoTransitionError
	return errors.As(err, &unmoved)
}

// next gives the state after the event, or false if the event is not allowed.
func (t transitions[S]) next(state S, occurred event) (S, bool) {
	following, ok := t[state][occurred]
	return following, ok
}

// Final says whether the state of a call never changes again.
func (s CallState) Final() bool {
	return s != CallAccepted && s != CallDispatched
}

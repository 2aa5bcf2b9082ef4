package program

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// event causes a state transition of a program or a call.
type event string

// The events of a call and of a program.
const (
	eventDispatch event = "dispatch"        // an attempt was committed
	eventRelease  event = "release"         // every attempt is proven not to have run
	eventAnswer   event = "answer"          // an attempt returned an answer
	eventNotRun   event = "give-up-not-run" // the call ended without having run
	eventFail     event = "give-up-failed"  // all attempts ended without an answer
	eventUnknown  event = "give-up-unknown" // the call ended with an unknown outcome
	eventEnd      event = "end"             // the program ended
)

// These are the lifecycles of calls and programs, declared with looplab/fsm. An
// fsm object per call would take more memory than the call itself, so all calls
// share one transition table, which is derived from an fsm object at startup.
var (
	callLifecycle = deriveTransitions(CallAccepted, fsm.Events{
		{Name: string(eventDispatch), Src: states(CallAccepted, CallDispatched), Dst: string(CallDispatched)},
		{Name: string(eventRelease), Src: states(CallDispatched), Dst: string(CallAccepted)},
		{Name: string(eventAnswer), Src: states(CallDispatched), Dst: string(CallAnswered)},
		{Name: string(eventNotRun), Src: states(CallAccepted), Dst: string(CallNotRun)},
		{Name: string(eventFail), Src: states(CallDispatched), Dst: string(CallFailed)},
		{Name: string(eventUnknown), Src: states(CallDispatched), Dst: string(CallUnknown)},
	})
	programLifecycle = deriveTransitions(ProgramOpen, fsm.Events{
		{Name: string(eventEnd), Src: states(ProgramOpen), Dst: string(ProgramEnded)},
	})
)

// transitions maps each state and event to the next state.
type transitions[S ~string] map[S]map[event]S

func states[S ~string](all ...S) []string {
	names := make([]string, len(all))
	for i, state := range all {
		names[i] = string(state)
	}
	return names
}

// deriveTransitions builds the transition table by triggering each declared event
// in each of its source states.
func deriveTransitions[S ~string](initial S, events fsm.Events) transitions[S] {
	machine := fsm.NewFSM(string(initial), events, fsm.Callbacks{})
	table := make(transitions[S])
	for _, declared := range events {
		for _, source := range declared.Src {
			machine.SetState(source)
			err := machine.Event(context.Background(), declared.Name)
			if err != nil && !isSelfTransition(err) {
				panic(err) // cannot happen, since the declaration is constant
			}
			if table[S(source)] == nil {
				table[S(source)] = make(map[event]S)
			}
			table[S(source)][event(declared.Name)] = S(machine.Current())
		}
	}
	return table
}

// isSelfTransition reports whether the error only means that an event did not
// change the state.
func isSelfTransition(err error) bool {
	var noTransition fsm.NoTransitionError
	return errors.As(err, &noTransition)
}

// next returns the state after the event, or false if the state does not allow it.
func (t transitions[S]) next(state S, trigger event) (S, bool) {
	nextState, ok := t[state][trigger]
	return nextState, ok
}

// IsFinal reports whether a call in this state never changes its state again.
func (s CallState) IsFinal() bool {
	return s != CallAccepted && s != CallDispatched
}

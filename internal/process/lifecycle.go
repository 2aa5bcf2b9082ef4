// Package process has parts that all server processes share: the state of the
// process from start to stop, its readiness check, and HTTP endpoints with limits.
package process

import (
	"context"

	"github.com/looplab/fsm"
	"go.uber.org/zap"
)

// State is the state of a process.
type State string

// The states of a process, in order. A process never returns to an earlier state.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining" // accepts no new work
	StateStopped  State = "stopped"
)

// event is the trigger of a state transition.
type event string

const (
	eventServe event = "serve"
	eventDrain event = "drain"
	eventStop  event = "stop"
)

// Lifecycle holds the state of a process and logs its changes. It is safe for
// concurrent use.
type Lifecycle struct {
	stateMachine *fsm.FSM
	log          *zap.Logger
	prefix       string
}

// NewLifecycle returns a Lifecycle in StateStarting. Its log lines begin with the prefix and a
// colon.
func NewLifecycle(prefix string, log *zap.Logger) *Lifecycle {
	lifecycle := &Lifecycle{log: log, prefix: prefix}
	lifecycle.stateMachine = fsm.NewFSM(string(StateStarting),
		fsm.Events{
			{Name: string(eventServe), Src: []string{string(StateStarting)}, Dst: string(StateServing)},
			{Name: string(eventDrain), Src: []string{string(StateStarting), string(StateServing)}, Dst: string(StateDraining)},
			{Name: string(eventStop), Src: []string{string(StateStarting), string(StateServing), string(StateDraining)}, Dst: string(StateStopped)},
		},
		fsm.Callbacks{
			"enter_state": func(_ context.Context, entered *fsm.Event) { log.Info(prefix + ": " + entered.Dst + ".") },
		})
	return lifecycle
}

// MarkServing changes the state from StateStarting to StateServing.
func (l *Lifecycle) MarkServing() { l.fire(eventServe) }

// MarkDraining changes the state to StateDraining, unless the process has stopped.
func (l *Lifecycle) MarkDraining() { l.fire(eventDrain) }

// MarkStopped changes the state to StateStopped.
func (l *Lifecycle) MarkStopped() { l.fire(eventStop) }

// fire triggers a state transition. It does nothing if the current state does not
// allow that transition.
func (l *Lifecycle) fire(trigger event) {
	if err := l.stateMachine.Event(context.Background(), string(trigger)); err != nil {
		l.log.Debug(l.prefix+": event ignored.", zap.String("event", string(trigger)), zap.String("cause", err.Error()))
	}
}

// State returns the current state.
func (l *Lifecycle) State() State { return State(l.stateMachine.Current()) }

// IsDraining reports whether new work must be rejected: the process is draining or
// has stopped.
func (l *Lifecycle) IsDraining() bool {
	state := l.State()
	return state == StateDraining || state == StateStopped
}

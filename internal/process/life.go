// Package process is what every process of the product has: a life of a few states,
// conditions of its readiness, and small HTTP listeners with their limits.
package process

import (
	"context"

	"github.com/looplab/fsm"
	"go.uber.org/zap"
)

// State is where a process stands in its life.
type State string

// The states of a life.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining" // takes no new work
	StateStopped  State = "stopped"
)

// event moves a life on.
type event string

const (
	eventServe event = "serve"
	eventDrain event = "drain"
	eventStop  event = "stop"
)

// Life is the state of a process as a whole. It is safe for concurrent use.
type Life struct {
	machine *fsm.FSM
	log     *zap.Logger
	prefix  string
}

// NewLife begins a life; its changes are logged with the prefix.
func NewLife(prefix string, log *zap.Logger) *Life {
	made := &Life{log: log, prefix: prefix}
	made.machine = fsm.NewFSM(string(StateStarting),
		fsm.Events{
			{Name: string(eventServe), Src: []string{string(StateStarting)}, Dst: string(StateServing)},
			{Name: string(eventDrain), Src: []string{string(StateStarting), string(StateServing)}, Dst: string(StateDraining)},
			{Name: string(eventStop), Src: []string{string(StateStarting), string(StateServing), string(StateDraining)}, Dst: string(StateStopped)},
		},
		fsm.Callbacks{
			"enter_state": func(_ context.Context, entered *fsm.Event) { log.Info(prefix + ": " + entered.Dst + ".") },
		})
	return made
}

// Serve tells that the process takes work.
func (l *Life) Serve() { l.move(eventServe) }

// Drain tells that the process takes no new work.
func (l *Life) Drain() { l.move(eventDrain) }

// Stop tells that the process is over.
func (l *Life) Stop() { l.move(eventStop) }

// move fires the event; an event that does not fit the state is ignored.
func (l *Life) move(fired event) {
	if err := l.machine.Event(context.Background(), string(fired)); err != nil {
		l.log.Debug(l.prefix+": event ignored.", zap.String("event", string(fired)), zap.String("cause", err.Error()))
	}
}

// State is where the process stands now.
func (l *Life) State() State { return State(l.machine.Current()) }

// Draining tells whether new work must be refused.
func (l *Life) Draining() bool {
	state := l.State()
	return state == StateDraining || state == StateStopped
}

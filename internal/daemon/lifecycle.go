package daemon

import (
	"context"

	"github.com/looplab/fsm"
	"go.uber.org/zap"
)

// The states of a daemon's life.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateDraining = "draining"
	stateStopped  = "stopped"
)

// The events of a daemon's life.
const (
	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// lifecycle is the state of the daemon as a whole. Safe for concurrent use.
type lifecycle struct {
	machine *fsm.FSM
	logger  *zap.Logger
}

func newLifecycle(logger *zap.Logger) *lifecycle {
	machine := fsm.NewFSM(stateStarting,
		fsm.Events{
			{Name: eventServe, Src: []string{stateStarting}, Dst: stateServing},
			{Name: eventDrain, Src: []string{stateStarting, stateServing}, Dst: stateDraining},
			{Name: eventStop, Src: []string{stateStarting, stateServing, stateDraining}, Dst: stateStopped},
		},
		fsm.Callbacks{
			"enter_state": func(_ context.Context, event *fsm.Event) {
				logger.Info("daemon: " + event.Dst + ".")
			},
		})
	return &lifecycle{machine: machine, logger: logger}
}

// move fires the event; an event that does not fit the state is ignored.
func (l *lifecycle) move(event string) {
	if err := l.machine.Event(context.Background(), event); err != nil {
		l.logger.Debug("daemon: event ignored.", zap.String("event", event), zap.String("cause", err.Error()))
	}
}

func (l *lifecycle) is(state string) bool { return l.machine.Is(state) }

// draining says whether new work must be refused.
func (l *lifecycle) draining() bool { return l.is(stateDraining) || l.is(stateStopped) }

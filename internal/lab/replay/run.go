package replay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
)

// Options say how to run a trace.
type Options struct {
	Daemon    string                                // path of the daemon's binary
	Directory string                                // for logs; empty: temporary
	Progress  func(format string, arguments ...any) // may be nil
}

// run is one replay under way.
type run struct {
	trace    Trace
	fleet    *fleet.Fleet
	progress func(format string, arguments ...any)
	streams  streamCounts
	observer *observer
	undo     sync.WaitGroup // faults that are taken back after a time
	striking chan struct{}  // holds the turn of a fault that needs a whole fleet
	giveUp   func()         // ends the programs

	choosing  sync.Mutex // held while a daemon is chosen and struck
	mutex     sync.Mutex
	lasting   []func() // undone when the programs are done
	played    []*played
	leaving   []leaving
	returning map[*fleet.Daemon]int // how many faults keep it away and will end
	stops     []string              // planned stops that went wrong
	races     []race
	stuck     string // the fleet's state when a caller's patience ended
	changes   []changeCall
	kills     []time.Time
}

// played is one copy of a program and what its caller learned.
type played struct {
	Program
	name         string
	parent       *played
	started      time.Time
	created      chan struct{} // closed when the identifier is known, or will never be
	done         chan struct{} // closed when all its calls have their outcomes
	id           identity.Program
	results      []result // by call
	err          error    // of creation or end
	bodies       []recordedCall
	repeats      []repeated // of submissions beside the proper ones
	refusedEarly atomic.Int64
	elapsed      time.Duration
}

// Run replays the trace and returns its verdict. The error is for what kept
// it from running at all.
func Run(ctx context.Context, trace Trace, options Options) (*Verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running, err := fleet.Start(ctx, trace.Deployment, fleet.Options{
		Daemon:    options.Daemon,
		Directory: options.Directory,
		Arguments: trace.Arguments,
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	r := &run{trace: trace, fleet: running, progress: options.Progress, striking: make(chan struct{}, 1)}
	if r.progress == nil {
		r.progress = func(string, ...any) {}
	}
	r.progress("replay: %d daemons are ready.", len(running.Daemons))
	r.observer = observe(ctx, running)
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.takeBack()
	r.progress("replay: programs are done, checking.")
	return r.judge(ctx), nil
}

// play runs all programs to their ends.
func (r *run) play(ctx context.Context) error {
	ctx, r.giveUp = context.WithCancel(ctx)
	defer r.giveUp()
	if err := r.faultsAt(ctx, Moment{Step: StepStart}, nil); err != nil {
		return err
	}
	byName := map[string]*played{}
	for _, program := range r.trace.Programs {
		for copied := range max(1, program.Copies) {
			r.addPlayed(program, copied, byName)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for number, one := range r.played {
		group.Go(func() error { return r.playProgram(ctx, one, number) })
	}
	err := group.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stuck != "" {
		return nil // a finding of the verdict
	}
	return err
}

func (r *run) addPlayed(program Program, copied int, byName map[string]*played) {
	one := &played{
		Program: program,
		name:    copyName(program, copied),
		parent:  byName[program.Parent],
		created: make(chan struct{}),
		done:    make(chan struct{}),
	}
	if copied == 0 {
		byName[program.Name] = one
	}
	r.played = append(r.played, one)
}

// noAnswer ends the replay early: without an answer to one call nothing is
// learned by the patience of the others' callers.
func (r *run) noAnswer(one *played, sequence int) {
	state := r.describe()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stuck == "" {
		r.stuck = fmt.Sprintf("%s call %d had no answer within %s:\n%s", one.name, sequence, r.trace.Bounds.Caller, state)
		r.progress("replay: %s", r.stuck)
	}
	r.giveUp()
}

// takeBack ends all faults that last, and waits for those under way.
func (r *run) takeBack() {
	r.mutex.Lock()
	lasting := r.lasting
	r.lasting = nil
	r.mutex.Unlock()
	for _, undo := range lasting {
		undo()
	}
	r.undo.Wait()
}

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

// Options configure Run.
type Options struct {
	DaemonBinary string                                // path to the daemon binary
	Directory    string                                // for logs; empty: a temporary directory
	Progress     func(format string, arguments ...any) // called for each progress message; may be nil
}

// run is the state of one replay.
type run struct {
	trace          Trace
	fleet          *fleet.Fleet
	progress       func(format string, arguments ...any)
	streams        streamCounts
	observer       *revisionObserver
	undos          sync.WaitGroup // goroutines that stop a daemon or undo a fault
	exclusive      chan struct{}  // semaphore of capacity one; see acquireExclusive
	cancelPrograms func()

	daemonFaultMutex sync.Mutex // serializes the choice of a daemon and the fault on it
	mutex            sync.Mutex
	undoAtEnd        []func() // undo functions of faults that last until all programs have ended
	programs         []*programRun
	leaving          []leavingBackEnd
	unavailable      map[*fleet.Daemon]int // number of faults that make the daemon unavailable for a time
	stopFailures     []string              // errors of graceful stops
	races            []raceResult
	timeoutReport    string // describes the first call without a final outcome and the fleet at that time; empty: none
	changes          []configurationChange
	kills            []time.Time
}

// programRun is the run of one copy of a program and what its caller observed.
type programRun struct {
	Program
	name            string
	parent          *programRun
	startedAt       time.Time
	created         chan struct{} // closed once the program was created, or could not be
	done            chan struct{} // closed when no more calls will be made
	id              identity.Program
	results         []result // one per call made, in order
	err             error    // of creating or ending the program
	submitted       []submittedCall
	duplicates      []duplicateResult // results of early and repeated submissions; see Program.Disorder
	earlyRejections atomic.Int64
	elapsed         time.Duration
}

// Run starts the deployment, replays the trace and checks all guarantees. A
// violated guarantee is a finding of the verdict, not an error; an error means
// that the deployment did not start or that a fault could not be injected.
func Run(ctx context.Context, trace Trace, options Options) (*Verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running, err := fleet.Start(ctx, trace.Deployment, fleet.Options{
		DaemonBinary: options.DaemonBinary,
		Directory:    options.Directory,
		Arguments:    trace.Arguments,
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	r := &run{trace: trace, fleet: running, progress: options.Progress, exclusive: make(chan struct{}, 1)}
	if r.progress == nil {
		r.progress = func(string, ...any) {}
	}
	r.progress("replay: %d daemons are ready.", len(running.Daemons))
	r.observer = startObserver(ctx, running)
	if err := r.runPrograms(ctx); err != nil {
		return nil, err
	}
	r.undoFaults()
	r.progress("replay: all programs are done; checking guarantees.")
	return r.buildVerdict(ctx), nil
}

// runPrograms injects the faults of StepStart, then runs all programs
// concurrently and waits for them.
func (r *run) runPrograms(ctx context.Context) error {
	ctx, r.cancelPrograms = context.WithCancel(ctx)
	defer r.cancelPrograms()
	if err := r.injectFaultsAt(ctx, InjectionPoint{Step: StepStart}, nil); err != nil {
		return err
	}
	byName := map[string]*programRun{}
	for _, program := range r.trace.Programs {
		for copyIndex := range max(1, program.Copies) {
			r.addProgram(program, copyIndex, byName)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for index, p := range r.programs {
		group.Go(func() error { return r.runProgram(ctx, p, index) })
	}
	err := group.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timeoutReport != "" {
		return nil // checkOutcomes reports it
	}
	return err
}

func (r *run) addProgram(program Program, copyIndex int, byName map[string]*programRun) {
	p := &programRun{
		Program: program,
		name:    nameOfCopy(program, copyIndex),
		parent:  byName[program.Parent],
		created: make(chan struct{}),
		done:    make(chan struct{}),
	}
	if copyIndex == 0 {
		byName[program.Name] = p
	}
	r.programs = append(r.programs, p)
}

// reportTimeout records that a call got no final outcome in time, and cancels all
// programs so that the replay does not wait for further timeouts.
func (r *run) reportTimeout(p *programRun, sequence int) {
	state := r.describeFleet()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timeoutReport == "" {
		r.timeoutReport = fmt.Sprintf("%s call %d had no final outcome within %s:\n%s", p.name, sequence, r.trace.Bounds.Caller, state)
		r.progress("replay: %s", r.timeoutReport)
	}
	r.cancelPrograms()
}

// undoFaults undoes the faults that have no duration, and waits until all others
// are undone.
func (r *run) undoFaults() {
	r.mutex.Lock()
	lasting := r.undoAtEnd
	r.undoAtEnd = nil
	r.mutex.Unlock()
	for _, undo := range lasting {
		undo()
	}
	r.undos.Wait()
}

// Package abuse plays clients that do not behave against a real gateway process, beside ordinary
// callers. It watches the memory of the process and ends it when it exceeds that of its machine.
package abuse

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Machine is the size of the machine that a gateway is told to run on.
type Machine struct {
	MemoryMB    int
	Descriptors int // limit of open files of the process; 0 leaves the one of this process
}

// Options configure Run.
type Options struct {
	GatewayBinary string
	// LabBinary is the binary of thymeloft-lab, as which the clients run.
	LabBinary string
	Machine   Machine
	Endpoint  Endpoint
	Clients   []Client       // clients that do not behave, all at once; none: calm
	Duration  time.Duration  // how long they are played
	Endless   *EndlessAnswer // what a faulty engine sends whose callers are played, too; nil: there is none
	Callers   int            // ordinary callers; 0: defaultCallers
}

// Report is what was observed during a run.
type Report struct {
	PeakMemory int64  // largest resident memory of the process, in bytes
	Ended      string // how the process ended by itself or past its memory; empty: it did not
	During     Served // requests of ordinary callers while the clients were played
	After      Served // requests of ordinary callers after they had left
	Ready      Served // readiness checks during the run
	// ProcessorTime is what the process used of the processor while the clients were played.
	ProcessorTime time.Duration
	// MaxUnreadyInARow is the largest number of readiness checks in a row that were not answered 200.
	MaxUnreadyInARow int
	// FalseRefusals are requests that were refused with a status which promises that they did not
	// run, and that an engine ran.
	FalseRefusals []string
	Refused       int // requests whose refusal promised that they did not run
	// AbuseServed is how many requests of the clients that do not behave an engine ran.
	AbuseServed int
}

const (
	defaultCallers = 8
	// requestsAfter is the number of requests that ordinary callers send after the run.
	requestsAfter = 20
	startTimeout  = 60 * time.Second
)

// Run starts a gateway with a store and engines, plays the clients beside ordinary callers, and
// reports what was observed.
func Run(ctx context.Context, options Options) (*Report, error) {
	report := &Report{}
	process, err := withProcess(ctx, options, func(p *process) error { return observeRun(ctx, options, p, report) })
	if err != nil {
		return nil, err
	}
	report.PeakMemory, report.Ended = process.peakMemory.Load(), process.endedHow()
	report.FalseRefusals = process.world.falseRefusals()
	report.Refused = process.world.countRefused()
	report.AbuseServed = process.world.countAbuse()
	return report, nil
}

// withProcess starts a gateway with a store and engines, calls use once it is ready, and ends all of
// them. It returns the ended process.
func withProcess(ctx context.Context, options Options, use func(*process) error) (*process, error) {
	directory, err := os.MkdirTemp("", "thymeloft-abuse-")
	if err != nil {
		return nil, eris.Wrap(err, "create a temporary directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	world, err := newWorld(options.Endless)
	if err != nil {
		return nil, err
	}
	defer world.close()
	process, err := startProcess(options, world, directory)
	if err != nil {
		return nil, err
	}
	defer process.kill()
	if err := process.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := use(process); err != nil {
		return nil, err
	}
	process.kill()
	return process, nil
}

// observeRun plays the clients, ordinary callers and readiness checks, and then the requests after.
func observeRun(ctx context.Context, options Options, process *process, report *Report) error {
	callers := options.Callers
	if callers == 0 {
		callers = defaultCallers
	}
	const settleTime = 500 * time.Millisecond
	before := process.processorTime()
	playing, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	crowd, err := startCrowd(options, process.target(options.Endpoint))
	if err != nil {
		return err
	}
	defer func() { _ = crowd.end(process.world) }()
	var observers sync.WaitGroup
	observers.Go(func() { report.Ready, report.MaxUnreadyInARow = checkReadiness(playing, process) })
	if options.Endless != nil {
		observers.Go(func() { callEndless(playing, process) })
	}
	results := make([]Served, callers)
	for index := range callers {
		observers.Go(func() { results[index] = newOrdinaryCaller(process, index).run(playing) })
	}
	observers.Wait()
	report.ProcessorTime = process.processorTime() - before
	if err := crowd.end(process.world); err != nil {
		return err
	}
	for _, each := range results {
		report.During.add(each)
	}
	pauseFor(ctx, settleTime)
	report.After = newOrdinaryCaller(process, callers).send(ctx, requestsAfter)
	return nil
}

func pauseFor(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

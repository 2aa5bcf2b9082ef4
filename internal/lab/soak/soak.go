// Package soak runs real gateways as processes on one machine, lets callers
// play programs through them, injects faults from outside (signals, links,
// a store and engines that misbehave), and checks what callers and engines
// saw against the promises of the pages. What happens when comes from a seed.
package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options are the parameters of a run.
type Options struct {
	Binary    string // of the gateway
	Directory string // for settings and logs; empty: a temporary one, removed if no promise was broken
	Seed      uint64
	Duration  time.Duration // of the faults; the recovery comes after
	Gateways  int
	Callers   int // that play programs at the same time
	// Kinds, if given, limits the faults to these.
	Kinds []string
	// Untimed leaves out the promises that are bounds in time, for machines
	// that may stop for seconds.
	Untimed bool
	// Environment is added to that of the gateways.
	Environment []string
	Progress    func(format string, arguments ...any)
}

// Bounds that the gateways are told, and that the checks use.
const (
	drainBound         = 2 * time.Second
	configurationBound = 2 * time.Second
	contact            = 3 * time.Second
	grace              = 6 * time.Second
	// schedulingSlack is what a busy machine may add to any bound.
	schedulingSlack = 2 * time.Second
)

// Verdict is what a run found.
type Verdict struct {
	Seed     uint64
	Findings []string
	Attempts map[string]int // by kind and outcome
	Faults   []string       // in their order
	Logs     string         // the directory, if it was kept
}

// world is everything of one run.
type world struct {
	options  Options
	began    time.Time
	evidence *evidence
	store    *store
	engines  *engines
	gateways []*gateway
	calm     *calmness

	pressed sync.WaitGroup // requests of the limited tenant

	mutex  sync.Mutex
	faults []string
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (*Verdict, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	kept := options.Directory != ""
	if !kept {
		made, err := os.MkdirTemp("", "thymeloft-soak-")
		if err != nil {
			return nil, eris.Wrap(err, "make a directory")
		}
		options.Directory = made
	}
	played := &world{options: options, began: time.Now(), calm: newCalmness()}
	played.evidence = newEvidence(played.calm)
	played.evidence.untimed = options.Untimed
	defer played.close()
	if err := played.start(ctx); err != nil {
		return nil, err
	}
	played.play(ctx)
	report := &Verdict{
		Seed: options.Seed, Findings: played.evidence.check(), Attempts: played.evidence.outcomes(),
		Faults: played.faults, Logs: options.Directory,
	}
	if len(report.Findings) == 0 && !kept {
		report.Logs = ""
		return report, os.RemoveAll(options.Directory)
	}
	return report, nil
}

// start brings store, engines and gateways up, and waits until all are ready.
func (w *world) start(ctx context.Context) error {
	w.store = newStore(w.options.Gateways)
	made, err := newEngines(w.evidence, w.store)
	if err != nil {
		return err
	}
	w.engines = made
	w.store.configure(w.evidence)
	for number := range w.options.Gateways {
		made, err := newGateway(number, w)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, made)
		if err := made.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(ctx)
}

const startPatience = 60 * time.Second

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for _, each := range w.gateways {
		if err := each.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// founded is when the gateways of a system that was never started before have written that they
// keep the quotas: who is killed before goes on with its part six minutes later (package members).
const founded = 7 * time.Second

// play runs callers beside the faults, then lets all recover and asks again.
func (w *world) play(ctx context.Context) {
	playing, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for number := range w.options.Callers {
		random := rand.New(rand.NewPCG(w.options.Seed, uint64(number)+1))
		callers.Go(func() { newCaller(w, number, random).play(playing) })
	}
	callers.Go(func() { w.pressQuota(playing, newRandom(w.options.Seed+1)) })
	w.wait(ctx, founded)
	w.injectFaults(ctx)
	stop()
	callers.Wait()
	w.recover(ctx)
}

// recover demands that all gateways become ready and serve once nothing is
// wrong any more.
func (w *world) recover(ctx context.Context) {
	if err := w.awaitReady(ctx); err != nil {
		w.evidence.find("recovery: %v", err)
		return
	}
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	last := newCaller(w, w.options.Callers, random)
	for number := range w.gateways {
		last.probe(ctx, number)
	}
}

func (w *world) note(fault string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = append(w.faults, fault)
	w.options.Progress("%7.3f s  %s", time.Since(w.began).Seconds(), fault)
}

func (w *world) close() {
	for _, each := range w.gateways {
		each.close()
	}
	if w.engines != nil {
		w.engines.close()
	}
	if w.store != nil {
		w.store.close()
	}
}

// logFile is where a gateway's output goes.
func (w *world) logFile(name string) string { return filepath.Join(w.options.Directory, name+".log") }

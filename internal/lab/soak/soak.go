// Package soak runs real gateway processes on one machine, sends them requests of
// simulated programs and injects faults: signals to the processes, faults on the
// network links, and a store and engines that misbehave. Afterwards it checks the
// gateways' guarantees from what callers and engines observed. The faults of a run are
// drawn from a seed.
package soak

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure Run.
type Options struct {
	GatewayBinary string // path to the gateway binary
	// PreviousBinary is the path to the binary of an earlier build. If it is set, all gateways start
	// with it, and are upgraded one after the other during the run.
	PreviousBinary string
	Directory      string // for settings and logs; empty: a temporary one, removed if there are no findings
	Seed           uint64
	Duration       time.Duration // how long faults are injected; recovery comes after it
	Gateways       int           // number of gateways
	Callers        int           // number of callers that run programs concurrently
	// FaultKinds limits the faults to these kinds; empty: all kinds.
	FaultKinds []string
	// SkipTimingChecks skips the checks of time limits, for machines that may stall for
	// seconds.
	SkipTimingChecks bool
	// Environment is added to the gateways' environment, as "NAME=value".
	Environment []string
	Progress    func(format string, arguments ...any) // called for each fault and planned change; may be nil
}

// Time limits that the gateways are configured with and that the checks use.
const (
	drainBound         = 2 * time.Second
	configurationBound = 2 * time.Second
	contactTimeout     = 3 * time.Second
	gracePeriod        = 6 * time.Second
	// schedulingSlack is added to the limits in checks, for delays of a busy machine.
	schedulingSlack = 2 * time.Second
)

// Verdict is the result of a run.
type Verdict struct {
	Seed          uint64
	Findings      []string       // violated guarantees; empty: none
	AttemptCounts map[string]int // number of attempts, by kind and outcome
	Faults        []string       // faults and planned changes, in the order of injection
	Directory     string         // directory of the settings and logs; empty if it was removed
}

// soakRun is the state of one run.
type soakRun struct {
	options   Options
	startedAt time.Time
	evidence  *evidence
	store     *store
	engines   *engines
	gateways  []*gateway
	calm      *calmTracker

	// disruptions is read-locked by series, compactions and upgrades, and locked by calm rounds.
	disruptions sync.RWMutex

	mutex  sync.Mutex
	faults []string
}

// Run starts the gateways, injects the faults of the seed while callers send
// requests, and checks all guarantees. A violated guarantee is a finding of the
// verdict, not an error.
func Run(ctx context.Context, options Options) (*Verdict, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	keepDirectory := options.Directory != ""
	if !keepDirectory {
		directory, err := os.MkdirTemp("", "thymeloft-soak-")
		if err != nil {
			return nil, eris.Wrap(err, "create a temporary directory")
		}
		options.Directory = directory
	}
	run := &soakRun{options: options, startedAt: time.Now(), calm: newCalmTracker()}
	run.evidence = newEvidence(run.calm)
	run.evidence.skipTimingChecks = options.SkipTimingChecks
	defer run.close()
	defer ignoreHangups()()
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	run.runCallersAndFaults(ctx)
	run.evidence.versionsSince = run.store.versionsSince()
	verdict := &Verdict{
		Seed: options.Seed, Findings: run.evidence.check(), AttemptCounts: run.evidence.countOutcomes(),
		Faults: run.faults, Directory: options.Directory,
	}
	if len(verdict.Findings) == 0 && !keepDirectory {
		verdict.Directory = ""
		return verdict, os.RemoveAll(options.Directory)
	}
	return verdict, nil
}

// start starts the store, the engines and the gateways, and waits until all
// gateways are ready.
func (r *soakRun) start(ctx context.Context) error {
	r.store = newStore(r.options.Gateways)
	created, err := newEngines(r.evidence, r.store, newVersionDrawer(r.options.Seed))
	if err != nil {
		return err
	}
	r.engines = created
	r.engines.onDeadly = func(target *instance, way wayToEnd) { go r.replaceEnded(target, way) }
	r.store.configure(r.evidence)
	for index := range r.options.Gateways {
		created, err := newGateway(index, r)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, created)
		if err := created.start(); err != nil {
			return err
		}
	}
	return r.awaitReady(ctx)
}

const startTimeout = 60 * time.Second

func (r *soakRun) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, each := range r.gateways {
		if err := each.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// firstStartDuration is how long the gateways of a new system need until each has
// recorded in the store that it owns a share of the quotas. A gateway that is killed
// before that gets its share again only six minutes later (package members).
const firstStartDuration = 7 * time.Second

// runCallersAndFaults injects the faults while callers send requests, then stops the
// callers and checks that the gateways recover.
func (r *soakRun) runCallersAndFaults(ctx context.Context) {
	callersCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for index := range r.options.Callers {
		random := newStream(r.options.Seed, uint64(index)+1)
		callers.Go(func() { newCaller(r, index, random).runPrograms(callersCtx) })
	}
	callers.Go(func() { r.exceedQuota(callersCtx, newFaultRandom(r.options.Seed+1)) })
	callers.Go(func() { r.sendDeadly(callersCtx, newStream(r.options.Seed, deadlyStream)) })
	callers.Go(func() { r.probeAdditions(callersCtx, newStream(r.options.Seed, probeStream)) })
	r.sleep(ctx, firstStartDuration)
	var background sync.WaitGroup
	background.Go(func() { r.runSeries(callersCtx, newStream(r.options.Seed, seriesStream)) })
	background.Go(func() { r.runSilences(callersCtx, newStream(r.options.Seed, silenceStream)) })
	background.Go(func() { r.runFullEngines(callersCtx, newStream(r.options.Seed, fullStream)) })
	background.Go(func() { r.runCompactions(callersCtx, newStream(r.options.Seed, compactionStream)) })
	background.Go(func() { r.runCrowds(callersCtx, newStream(r.options.Seed, crowdStream)) })
	if r.options.PreviousBinary != "" {
		background.Go(func() { r.upgradeGateways(callersCtx, newStream(r.options.Seed, upgradeStream)) })
	}
	r.injectFaults(ctx)
	stop()
	background.Wait()
	callers.Wait()
	r.checkRecovery(ctx)
}

// checkRecovery checks, after all faults have ended, that all gateways become ready
// and answer requests of each kind.
func (r *soakRun) checkRecovery(ctx context.Context) {
	if err := r.awaitReady(ctx); err != nil {
		r.evidence.addFinding("recovery: %v", err)
		return
	}
	random := newStream(r.options.Seed, recoveryStream)
	probing := newCaller(r, r.options.Callers, random)
	for index := range r.gateways {
		probing.probe(ctx, index)
	}
}

func (r *soakRun) logEvent(event string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, event)
	r.options.Progress("%7.3f s  %s", time.Since(r.startedAt).Seconds(), event)
}

func (r *soakRun) close() {
	for _, each := range r.gateways {
		each.close()
	}
	if r.engines != nil {
		r.engines.close()
	}
	if r.store != nil {
		r.store.close()
	}
}

// logFile returns the path of the file that gets the output of a gateway.
func (r *soakRun) logFile(name string) string { return filepath.Join(r.options.Directory, name+".log") }

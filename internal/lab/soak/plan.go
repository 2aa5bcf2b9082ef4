package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// fault is a fault with the parameters that were drawn for it.
type fault struct {
	kind     string
	targets  []int   // indices of gateways
	variant  int     // selects details of the fault; its meaning depends on the kind
	share    float64 // fraction of requests or partitions that are affected; also scales delays
	duration time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s of %v, variant %d, share %.2f, for %s", f.kind, f.targets, f.variant, f.share, f.duration)
}

// injector injects a fault, waits for its end and undoes it.
type injector func(r *soakRun, f fault)

// faultInjectors contains the injector of each kind of fault.
var faultInjectors = map[string]injector{
	"kill":          (*soakRun).kill,
	"pause":         (*soakRun).pause,
	"stop":          (*soakRun).stop,
	"store-down":    (*soakRun).makeStoreUnavailable,
	"store-part":    (*soakRun).makePartitionsUnavailable,
	"store-one":     (*soakRun).makeStoreUnavailableToSome,
	"store-slow":    (*soakRun).delayStore,
	"store-lost":    (*soakRun).loseStoreAnswers,
	"store-late":    (*soakRun).delayStoreWrites,
	"store-history": (*soakRun).dropStoreHistory,
	"link-store":    (*soakRun).injectStoreLinkFault,
	"link-peers":    (*soakRun).injectPeerLinkFault,
	"link-callers":  (*soakRun).injectCallerLinkFault,
	"link-engine":   (*soakRun).injectInstanceLinkFault,
	"engine-crash":  (*soakRun).crashInstance,
	"engine-bad":    (*soakRun).injectInstanceFault,
}

// plannedChanges are operations that callers must not notice. They happen while faults
// are injected and in calm rounds.
var plannedChanges = map[string]injector{
	"engine-drain": (*soakRun).replaceInstance,
	"configure":    (*soakRun).reconfigure,
	"hup":          (*soakRun).reloadSettings,
}

// FaultKinds returns the kinds of faults, sorted.
func FaultKinds() []string {
	var kinds []string
	for kind := range faultInjectors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

const (
	maxConcurrentFaults = 3
	roundsPerCalmRound  = 4 // a calm round follows after this many rounds
	minFaultDuration    = 300 * time.Millisecond
	maxFaultDuration    = 4 * time.Second
)

// injectFaults runs rounds of faults until the duration has elapsed. All faults of a
// round end before the next round begins. Calm rounds, without faults, allow time
// limits to be checked.
func (r *soakRun) injectFaults(ctx context.Context) {
	random := newFaultRandom(r.options.Seed)
	kinds := r.options.FaultKinds
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	r.sleep(ctx, time.Second)
	for round := 1; ctx.Err() == nil && time.Since(r.startedAt) < firstStartDuration+r.options.Duration; round++ {
		faults := r.drawFaults(random, kinds)
		var running sync.WaitGroup
		for _, each := range faults {
			r.logEvent(each.String())
			running.Go(func() { faultInjectors[each.kind](r, each) })
		}
		change := r.drawChange(random)
		running.Go(func() { r.makeChange(change) })
		running.Wait()
		r.sleep(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
		if round%roundsPerCalmRound == 0 {
			r.runCalmRound(ctx, random)
		}
	}
}

// runCalmRound makes random planned changes while no fault is active. It waits long
// enough before and after for the time limits to be checked.
func (r *soakRun) runCalmRound(ctx context.Context, random *rand.Rand) {
	r.disruptions.Lock()
	defer r.disruptions.Unlock()
	if err := r.awaitReady(ctx); err != nil {
		r.evidence.addFinding("recovery: %v", err)
		return
	}
	r.logEvent("calm")
	r.sleep(ctx, contactTimeout+time.Second)
	for range plannedChanges {
		r.makeChange(r.drawChange(random))
	}
	r.sleep(ctx, configurationBound+schedulingSlack+time.Second)
}

func (r *soakRun) drawChange(random *rand.Rand) fault {
	var kinds []string
	for kind := range plannedChanges {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return fault{kind: kinds[random.IntN(len(kinds))], targets: []int{random.IntN(len(r.gateways))}, variant: random.IntN(1 << 16)}
}

func (r *soakRun) makeChange(change fault) {
	r.logEvent(change.String())
	plannedChanges[change.kind](r, change)
}

// drawFaults draws up to maxConcurrentFaults faults of different families. The
// family is the part of the kind before "-"; two faults of one family could undo
// each other.
func (r *soakRun) drawFaults(random *rand.Rand, kinds []string) []fault {
	var faults []fault
	families := map[string]bool{}
	for range 1 + random.IntN(maxConcurrentFaults) {
		kind := kinds[random.IntN(len(kinds))]
		f := fault{
			kind: kind, variant: random.IntN(1 << 16), share: 0.1 + 0.5*random.Float64(),
			targets: random.Perm(len(r.gateways))[:1+random.IntN(len(r.gateways))],
		}
		f.duration = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		family, _, _ := strings.Cut(kind, "-")
		if families[family] {
			continue
		}
		families[family] = true
		faults = append(faults, f)
	}
	return faults
}

func (r *soakRun) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// Streams of random numbers of a seed. Those of the callers have the numbers from 1.
const (
	recoveryStream = 0
	faultStream    = 1<<32 + iota - 1
	seriesStream
	upgradeStream
	probeStream
	compactionStream
	versionStream
	deadlyStream
	silenceStream
	fullStream
	crowdStream
)

// newStream returns a stream of random numbers of a seed.
func newStream(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// newFaultRandom returns the random source from which the faults of a seed are drawn.
func newFaultRandom(seed uint64) *rand.Rand { return newStream(seed, faultStream) }

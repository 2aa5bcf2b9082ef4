package experiment

import (
	"cmp"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/lab/workload"
)

// Options configure an experiment.
type Options struct {
	Output  string    // directory of the report
	Seed    uint64    // of the main comparison
	Seeds   int       // number of further seeds, which show how much the results vary
	Loads   []float64 // scales of the traces in the sweep, in rising order
	Workers int       // maximum number of concurrent runs; values below 1 count as 1
}

// Command is the "experiment" subcommand of thymeloft-lab.
type Command struct {
	Output  string    `help:"Directory of the report." default:"docs/reports/scheduling"`
	Seed    uint64    `help:"Seed of the main traces." default:"1"`
	Seeds   int       `help:"Further seeds to repeat the main comparison with." default:"4"`
	Loads   []float64 `help:"Loads of the sweep, as multiples of the base rate of arrivals." default:"0.5,0.75,1,1.25,1.5,1.75,2,2.25,2.5,3"`
	Workers int       `help:"Runs at a time." default:"3"`
}

// Run runs the experiment. It is called by kong.
func (c *Command) Run() error {
	return Run(Options(*c))
}

// deployment is a generator of traces and its name.
type deployment struct {
	name     string
	generate func(seed uint64, scale float64) workload.Trace
}

func deployments() []deployment {
	return []deployment{
		{name: "brackenlaw", generate: workload.Brackenlaw},
		{name: "theory-desk", generate: workload.TheoryDesk},
	}
}

// trial is one run. Its measures are nil until the run has ended.
type trial struct {
	label    string
	strategy Strategy
	settings Settings
	seed     uint64
	load     float64
	measures *measures
}

// study has all runs of one deployment and their comparison.
type study struct {
	deployment
	engines      int
	sweep        []*trial // trials of all loads with all strategies
	reportedLoad float64  // the smallest load at which the queue of least-loaded grows
	seeds        []*trial // trials with further seeds, for the strategies of comparedBySeed
	variants     []*trial // trials of the variants at the loads of variantLoads
	verdict      Verdict
}

// Run runs the experiment and writes the report, its plots and the raw histograms
// to the output directory.
func Run(options Options) error {
	var studies []*study
	for _, d := range deployments() {
		result, err := runStudy(d, options)
		if err != nil {
			return err
		}
		studies = append(studies, result)
	}
	if err := os.MkdirAll(options.Output, 0o755); err != nil {
		return eris.Wrap(err, "experiment: create the report directory")
	}
	for _, result := range studies {
		if err := writePlots(options.Output, result); err != nil {
			return err
		}
	}
	if err := writeHistograms(options.Output, studies); err != nil {
		return err
	}
	return writeReport(options, studies)
}

func runStudy(d deployment, options Options) (*study, error) {
	if len(options.Loads) == 0 {
		return nil, eris.New("experiment: no loads to run")
	}
	result := &study{deployment: d, engines: len(d.generate(options.Seed, options.Loads[0]).Engines)}
	for _, load := range options.Loads {
		for _, strategy := range Strategies() {
			result.sweep = append(result.sweep, &trial{label: string(strategy), strategy: strategy, seed: options.Seed, load: load})
		}
	}
	if err := runTrials(d, result.sweep, options.Workers); err != nil {
		return nil, err
	}
	if err := result.findReportedLoad(options.Loads); err != nil {
		return nil, err
	}
	result.addSeeds(options)
	result.addVariants(options.Seed)
	if err := runTrials(d, append(result.seeds[:len(result.seeds):len(result.seeds)], result.variants...), options.Workers); err != nil {
		return nil, err
	}
	result.verdict = result.computeVerdict()
	return result, nil
}

// runTrials runs the trials, up to the given number at a time. Each is deterministic
// and does not depend on the others.
func runTrials(d deployment, trials []*trial, workers int) error {
	var group errgroup.Group
	group.SetLimit(max(workers, 1))
	for _, t := range trials {
		group.Go(func() error {
			trace := d.generate(t.seed, t.load)
			result, err := simulate(&trace, t.strategy, t.settings)
			t.measures = result
			return err
		})
	}
	return group.Wait()
}

// findReportedLoad sets reportedLoad to the first of the loads at which the queue of
// least-loaded grows. It returns an error if there is none.
func (s *study) findReportedLoad(loads []float64) error {
	for _, load := range loads {
		if s.findTrial(LeastLoaded, load).measures.isQueueGrowing(s.engines) {
			s.reportedLoad = load
			return nil
		}
	}
	return eris.Errorf("experiment: %s: the queue of least-loaded does not grow at any load of the sweep", s.name)
}

// findTrial returns the trial of the sweep with this strategy and load, or nil.
func (s *study) findTrial(strategy Strategy, load float64) *trial {
	for _, candidate := range s.sweep {
		if candidate.strategy == strategy && cmp.Compare(candidate.load, load) == 0 {
			return candidate
		}
	}
	return nil
}

// comparedBySeed lists the strategies that run with further seeds, in the order of
// study.seeds.
var comparedBySeed = []Strategy{RoundRobin, LeastLoaded, Thymeloft, FirstCome}

// addSeeds adds trials of the main comparison with further seeds.
func (s *study) addSeeds(options Options) {
	for offset := range options.Seeds {
		for _, strategy := range comparedBySeed {
			seed := options.Seed + uint64(offset) + 1
			s.seeds = append(s.seeds, &trial{label: string(strategy), strategy: strategy, seed: seed, load: s.reportedLoad})
		}
	}
}

// Verdict compares thymeloft with its targets at the reported load.
type Verdict struct {
	Load              float64 // smallest load at which the queue of least-loaded grows
	LatencyRatio      float64 // p95 of program latency divided by that of least-loaded; the target is at most MaxLatencyRatio
	OwnTimeRatio      float64 // like LatencyRatio, but without the programs' own pauses
	IdealLatencyRatio float64 // p95 of idealLatency divided by the p95 of program latency with least-loaded
	WastedRatio       float64 // wasted prompt tokens divided by those of round-robin; the target is at most MaxWastedRatio
	LatencyMet        bool
	WastedMet         bool
	SeedsCompared     int // number of further seeds
	SeedsMet          int // number of further seeds with which both targets are met
}

// Targets of a Verdict.
const (
	MaxLatencyRatio = 0.5 // maximum of LatencyRatio
	MaxWastedRatio  = 0.2 // maximum of WastedRatio
)

func (s *study) computeVerdict() Verdict {
	verdict := compare(s.reportedLoad, s.findTrial(RoundRobin, s.reportedLoad), s.findTrial(LeastLoaded, s.reportedLoad), s.findTrial(Thymeloft, s.reportedLoad))
	for bySeed := range slices.Chunk(s.seeds, len(comparedBySeed)) {
		other := compare(s.reportedLoad, bySeed[0], bySeed[1], bySeed[2])
		verdict.SeedsCompared++
		if other.LatencyMet && other.WastedMet {
			verdict.SeedsMet++
		}
	}
	return verdict
}

func compare(load float64, roundRobin, leastLoaded, product *trial) Verdict {
	verdict := Verdict{
		Load:              load,
		LatencyRatio:      ratio(p95(product.measures.programs), p95(leastLoaded.measures.programs)),
		OwnTimeRatio:      ratio(p95(product.measures.ownTime), p95(leastLoaded.measures.ownTime)),
		IdealLatencyRatio: ratio(p95(product.measures.ideal), p95(leastLoaded.measures.programs)),
		WastedRatio:       ratio(float64(product.measures.wastedTokens), float64(roundRobin.measures.wastedTokens)),
	}
	verdict.LatencyMet = verdict.LatencyRatio <= MaxLatencyRatio
	verdict.WastedMet = verdict.WastedRatio <= MaxWastedRatio
	return verdict
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

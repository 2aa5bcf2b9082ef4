package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// quantile returns the given percentile of the histogram, in seconds.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

func p95(histogram *hdrhistogram.Histogram) float64 { return quantile(histogram, 95) }

func millions(tokens int64) float64 { return float64(tokens) / 1e6 }

// writeReport writes README.md to the output directory.
func writeReport(options Options, studies []*study) error {
	var text strings.Builder
	text.WriteString(introduction)
	fmt.Fprintf(&text, "Seed %d, further seeds %d, loads %v.\n", options.Seed, options.Seeds, options.Loads)
	for _, s := range studies {
		s.writeSection(&text)
	}
	path := filepath.Join(options.Output, "README.md")
	return eris.Wrapf(os.WriteFile(path, []byte(text.String()), 0o644), "experiment: write %s", path)
}

const introduction = `# Scheduling experiment

Written by ` + "`thymeloft-lab experiment`" + `; the same options give the same files. Engines, callers
and daemons are emulated in virtual time; the decisions, the queue, the sketch of shared
prefixes and the leases are the product's own code. Figures tell strategies apart under the
emulator's assumptions ([design](../../design/scheduling.md)); they are no promise for real engines.

What is measured:

- **Program latency**: from the arrival of a root program till its last answer, with its tool
  calls and thinking, sub-agents, refusals and returns. Programs given up by their callers
  (refused more than 12 times) are counted apart and are not in the latencies.
- **Own time**: program latency without the program's own pauses (not those of its sub-agents).
- **Alone**: p95 that the same programs would have if each were alone on the fastest engine.
- **First token**: from the caller's first sending of a call till its first token.
- **Wasted**: prompt tokens that an engine computed although at that moment another engine of
  the fleet had them cached: when a call's prefill begins, the longest prefix of its prompt in
  any engine's cache less the longest in its own engine's.
- **Evicted**: prompt tokens computed again that some engine had computed before and none has
  cached any more.
- **Fairness**: Jain's index over the tenants' mean slowdown (latency over latency alone; 1 is
  equal), and the worst tenant's mean slowdown over the best one's.
- **Queue**: calls that wait in engines and daemons, mean of the first and second half of the peak.
  It *grows* when the second is at least 1.5 times the first and at least half the engines.
- **Copies**: calls sent again by impatient callers that ran twice. Balancers run them, as plain
  balancers do; thymeloft joins them to the first. Variants show what this alone does.

`

func (s *study) writeSection(text *strings.Builder) {
	fmt.Fprintf(text, "\n## %s\n\n", s.name)
	fmt.Fprintf(text, "The queue of least-loaded begins to grow at load %.2f: the **reported load**.\n\n", s.reportedLoad)
	s.writeVerdict(text)
	writeHeader(text)
	for _, strategy := range Strategies() {
		writeRow(text, s.findTrial(strategy, s.reportedLoad))
	}
	s.writeWinners(text)
	for _, name := range []string{"latency-by-load", "latency", "first-token", "waste"} {
		fmt.Fprintf(text, "![%s](%s-%s.png)\n", name, s.name, name)
	}
	s.writeSweep(text)
	s.writeSeeds(text)
	for _, multiple := range variantLoads {
		fmt.Fprintf(text, "\n### Variants at %.0f times the reported load\n\n", multiple)
		writeHeader(text)
		for _, t := range s.variants {
			if t.load == s.reportedLoad*multiple {
				writeRow(text, t)
			}
		}
	}
}

func (s *study) writeVerdict(text *strings.Builder) {
	v := s.verdict
	met := map[bool]string{true: "met", false: "**not met**"}
	fmt.Fprintf(text, "- p95 program latency is %.2f of least-loaded's (aimed at: at most %.2f): %s. ", v.LatencyRatio, MaxLatencyRatio, met[v.LatencyMet])
	fmt.Fprintf(text, "Without the programs' own pauses it is %.2f. Programs alone on the fastest engine would have %.2f.\n", v.OwnTimeRatio, v.IdealLatencyRatio)
	fmt.Fprintf(text, "- Wasted prompt tokens are %.3f of round-robin's (aimed at: at most %.2f): %s.\n", v.WastedRatio, MaxWastedRatio, met[v.WastedMet])
	fmt.Fprintf(text, "- With further seeds both were met in %d of %d.\n\n", v.SeedsMet, v.SeedsCompared)
}

func writeHeader(text *strings.Builder) {
	text.WriteString("| | program p50 s | p95 | p99 | own time p95 | first token p50 s | p95 | p99 | wasted M | evicted M | cached | Jain | worst/best | queue | refused | given up | copies run |\n")
	text.WriteString("|---|" + strings.Repeat("--:|", 16) + "\n")
}

func writeRow(text *strings.Builder, t *trial) {
	m := t.measures
	fmt.Fprintf(text, "| %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f%% | %.3f | %.2f | %.1f, %.1f | %d | %d | %d |\n",
		t.label, quantile(m.programs, 50), p95(m.programs), quantile(m.programs, 99), p95(m.ownTime),
		quantile(m.firstToken, 50), p95(m.firstToken), quantile(m.firstToken, 99),
		millions(m.wastedTokens), millions(m.evictedTokens), 100*ratio(float64(m.cachedTokens), float64(m.promptTokens)),
		m.fairness, m.worstTenantRatio, m.peakQueue[0], m.peakQueue[1], m.refused, m.abandoned, m.copiesRun)
}

// column is a measure in which strategies are compared.
type column struct {
	name  string
	value func(m *measures) float64 // smaller is better
}

func columns() []column {
	return []column{
		{"program p50", func(m *measures) float64 { return quantile(m.programs, 50) }},
		{"program p95", func(m *measures) float64 { return p95(m.programs) }},
		{"program p99", func(m *measures) float64 { return quantile(m.programs, 99) }},
		{"first token p50", func(m *measures) float64 { return quantile(m.firstToken, 50) }},
		{"first token p95", func(m *measures) float64 { return p95(m.firstToken) }},
		{"first token p99", func(m *measures) float64 { return quantile(m.firstToken, 99) }},
		{"wasted tokens", func(m *measures) float64 { return float64(m.wastedTokens) }},
		{"evicted tokens", func(m *measures) float64 { return float64(m.evictedTokens) }},
		{"fairness", func(m *measures) float64 { return -m.fairness }},
		{"refused calls", func(m *measures) float64 { return float64(m.refused) }},
	}
}

// writeWinners lists the measures in which a baseline is better than thymeloft.
func (s *study) writeWinners(text *strings.Builder) {
	product := s.findTrial(Thymeloft, s.reportedLoad).measures
	var wins []string
	for _, col := range columns() {
		for _, strategy := range Strategies() {
			if col.value(s.findTrial(strategy, s.reportedLoad).measures) < col.value(product) {
				wins = append(wins, fmt.Sprintf("%s in %s", strategy, col.name))
			}
		}
	}
	if len(wins) == 0 {
		wins = append(wins, "in none of "+columnNames())
	}
	fmt.Fprintf(text, "\nBaselines better than thymeloft here: %s.\n\n", strings.Join(wins, "; "))
}

func columnNames() string {
	var names []string
	for _, col := range columns() {
		names = append(names, col.name)
	}
	return strings.Join(names, ", ")
}

func (s *study) writeSweep(text *strings.Builder) {
	text.WriteString("\n### All loads\n\np95 of program latency in seconds / wasted prompt tokens in millions; * the queue grows.\n\n| load |")
	for _, strategy := range Strategies() {
		fmt.Fprintf(text, " %s |", strategy)
	}
	text.WriteString("\n|---|" + strings.Repeat("--:|", len(Strategies())))
	for index, t := range s.sweep {
		if index%len(Strategies()) == 0 {
			fmt.Fprintf(text, "\n| %.2f |", t.load)
		}
		grows := ""
		if t.measures.isQueueGrowing(s.engines) {
			grows = "*"
		}
		fmt.Fprintf(text, " %.0f / %.1f%s |", p95(t.measures.programs), millions(t.measures.wastedTokens), grows)
	}
	text.WriteString("\n")
}

func (s *study) writeSeeds(text *strings.Builder) {
	text.WriteString("\n### Further seeds at the reported load\n\n")
	text.WriteString("| seed | p95 over least-loaded's | own time | wasted over round-robin's | p95 over first-come's |\n|---|--:|--:|--:|--:|\n")
	for bySeed := range slices.Chunk(s.seeds, len(comparedBySeed)) {
		v := compare(s.reportedLoad, bySeed[0], bySeed[1], bySeed[2])
		overFirstCome := ratio(p95(bySeed[2].measures.programs), p95(bySeed[3].measures.programs))
		fmt.Fprintf(text, "| %d | %.2f | %.2f | %.3f | %.2f |\n", bySeed[0].seed, v.LatencyRatio, v.OwnTimeRatio, v.WastedRatio, overFirstCome)
	}
}

// writeHistograms writes the histograms at the reported load to histograms.csv.
// Their values are milliseconds, in HdrHistogram's compressed V2 encoding as
// base64.
func writeHistograms(directory string, studies []*study) error {
	var text strings.Builder
	text.WriteString("deployment,strategy,load,measure,histogram\n")
	for _, s := range studies {
		for _, strategy := range Strategies() {
			m := s.findTrial(strategy, s.reportedLoad).measures
			for _, entry := range []struct {
				name      string
				histogram *hdrhistogram.Histogram
			}{{"program", m.programs}, {"own-time", m.ownTime}, {"alone", m.ideal}, {"first-token", m.firstToken}} {
				encoded, err := entry.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
				if err != nil {
					return eris.Wrapf(err, "experiment: encode histogram %s of strategy %s", entry.name, strategy)
				}
				fmt.Fprintf(&text, "%s,%s,%.2f,%s,%s\n", s.name, strategy, s.reportedLoad, entry.name, encoded)
			}
		}
	}
	path := filepath.Join(directory, "histograms.csv")
	return eris.Wrapf(os.WriteFile(path, []byte(text.String()), 0o644), "experiment: write %s", path)
}

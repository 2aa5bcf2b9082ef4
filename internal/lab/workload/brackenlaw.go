package workload

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	brackenlawTenants         = 24
	assessmentsPerSecond      = 0.30 // mean rate of assessments outside the peak, at scale 1
	anchorShareAtPeak         = 0.35 // fraction of the arrivals in the peak that are from anchorTenant
	anchorTenant              = "shipyard-supply"
	subAgentChance            = 0.25 // probability that an assessment has sub-agents
	maxSubAgents              = 3
	maxAssessmentTurns        = 40
	maxToolPause              = 45 * time.Second
	maxAssessmentPromptTokens = 4000
)

// assessmentKind is a kind of assessment that analysts start.
type assessmentKind struct {
	name          string
	share         float64 // probability of the kind
	class         scheduling.Class
	systemTokens  int64
	turnsMedian   float64
	notRepeatable bool // the last turn sets a funding flag, which must not be repeated
}

var assessmentKinds = []assessmentKind{
	{name: "debtor-check", share: 0.40, class: scheduling.ClassInteractive, systemTokens: 3200, turnsMedian: 7},
	{name: "verification", share: 0.35, class: scheduling.ClassStandard, systemTokens: 4400, turnsMedian: 9, notRepeatable: true},
	{name: "remittance-matching", share: 0.25, class: scheduling.ClassBatch, systemTokens: 2600, turnsMedian: 12},
}

// Brackenlaw generates fifteen minutes at a month end of a factoring platform:
// assessments, which are sequences of model calls with tool pauses and
// sub-agents. The assessments of one tenant share a long prefix, and one tenant
// causes about a third of the arrivals in the peak. The scale multiplies the rate
// of arrivals.
func Brackenlaw(seed uint64, scale float64) Trace {
	zones := []identity.Zone{"leith-a", "leith-b", "govan-a", "govan-b"}
	monthEnd := arrivalRate{length: 15 * time.Minute, peakFrom: 4 * time.Minute, peakTo: 12 * time.Minute, peakFactor: 1.8}
	trace := Trace{
		Deployment: "brackenlaw", Seed: seed, Scale: scale, Length: monthEnd.length,
		PeakFrom: monthEnd.peakFrom, PeakTo: monthEnd.peakTo,
		Zones: zones, Model: "assess-models", Engines: mixedFleet("assess", zones),
	}
	arrivals := monthEnd.arrivals(newRandomSource(seed, "brackenlaw-arrivals", 0), assessmentsPerSecond*scale)
	for number, arrival := range arrivals {
		atPeak := monthEnd.relativeRate(arrival) > 1
		trace.addAssessment(newRandomSource(seed, "assessment", number), arrival, atPeak)
	}
	return trace
}

// addAssessment appends one assessment and the sub-agents that it spawns.
func (t *Trace) addAssessment(random randomSource, arrival time.Duration, atPeak bool) {
	kind := drawAssessmentKind(random)
	tenant := drawTenant(random, atPeak)
	root := Program{
		Index: len(t.Programs), Kind: kind.name, Tenant: tenant, Class: kind.class,
		Arrival: arrival, Parent: NoParent, Prefix: assessmentPrefix(kind, tenant),
	}
	turns := random.logNormalCount(kind.turnsMedian, 0.5, 2, maxAssessmentTurns)
	root.Turns = assessmentTurns(random, turns)
	if kind.notRepeatable {
		root.Turns[turns-1].NonIdempotent = true
	}
	t.Programs = append(t.Programs, root)
	if random.bernoulli(subAgentChance) {
		t.addSubAgents(random, root.Index, kind)
	}
}

// addSubAgents appends sub-agents that one random turn of the parent spawns. They
// share the parent's prefix.
func (t *Trace) addSubAgents(random randomSource, parent int, kind assessmentKind) {
	turn := random.IntN(len(t.Programs[parent].Turns))
	for range random.uniformInt(1, maxSubAgents) {
		child := t.Programs[parent]
		child.Index = len(t.Programs)
		child.Kind = kind.name + "-agent"
		child.Parent = parent
		child.Arrival = 0
		child.Turns = assessmentTurns(random, random.uniformInt(2, 5))
		t.Programs = append(t.Programs, child)
		parentTurn := &t.Programs[parent].Turns[turn]
		parentTurn.Children = append(parentTurn.Children, child.Index)
	}
}

// assessmentTurns draws the turns of an assessment or a sub-agent. There is no
// pause after the last turn.
func assessmentTurns(random randomSource, count int64) []Turn {
	turns := make([]Turn, count)
	for index := range turns {
		turns[index] = Turn{
			PromptTokens: random.logNormalCount(450, 0.8, 40, maxAssessmentPromptTokens),
			OutputTokens: random.logNormalCount(110, 0.5, 20, 500),
			Pause:        random.logNormal(1500*time.Millisecond, 1.0, maxToolPause),
		}
	}
	turns[count-1].Pause = 0
	return turns
}

func drawAssessmentKind(random randomSource) assessmentKind {
	remaining := random.Float64()
	for _, kind := range assessmentKinds {
		remaining -= kind.share
		if remaining < 0 {
			return kind
		}
	}
	return assessmentKinds[0]
}

func drawTenant(random randomSource, atPeak bool) identity.Tenant {
	if atPeak && random.bernoulli(anchorShareAtPeak) {
		return anchorTenant
	}
	return identity.Tenant(fmt.Sprintf("client-%02d", random.zipfIndex(brackenlawTenants)+1))
}

// assessmentPrefix returns the instructions of the kind, which all tenants share,
// followed by the tenant's dossier.
func assessmentPrefix(kind assessmentKind, tenant identity.Tenant) []PrefixPart {
	system := xxhash.Sum64String(kind.name)
	dossier := xxhash.Sum64String(kind.name + "/" + string(tenant))
	dossierTokens := 4000 + int64(xxhash.Sum64String(string(tenant))%6000)
	return []PrefixPart{
		{Hash: system, Tokens: kind.systemTokens},
		{Hash: dossier, Tokens: dossierTokens},
	}
}

package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

const (
	randomPrograms       = 6
	maxRandomCalls       = 6
	maxRandomFaults      = 6
	randomBudget         = 3000            // tokens
	randomOutageDuration = 4 * time.Second // duration of temporary stand-in rules; other faults last 200 ms plus a random time below this
	randomModel          = "tutor-llm"
	randomService        = "desk-app"
	randomTool           = "ledger"
	randomTenant         = "theory-desk"
)

// RandomTrace returns the trace for a seed: programs with calls of every kind, and
// faults at random steps. The same seed always gives the same trace.
func RandomTrace(seed uint64) Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	trace := Trace{
		Name:        fmt.Sprintf("random-%d", seed),
		Description: "Faults of every kind, more than one at once, over programs of every kind.",
		Deployment: fleet.Deployment{
			Region:            "ie-east",
			Zones:             []string{"hall-a", "hall-b", "hall-c"},
			DelayBetweenZones: 500 * time.Microsecond,
			DelayToClients:    time.Millisecond,
			TimeScale:         0.02,
			Models:            []fleet.Model{{Name: randomModel, Engines: 4, Old: 2}},
			Services: []fleet.Service{
				{Name: randomService, Kind: "service", Replicas: 3, Delay: 5 * time.Millisecond},
				{Name: randomTool, Kind: "tool", Replicas: 2, Delay: 5 * time.Millisecond},
			},
			Tenants: []fleet.Tenant{{Name: randomTenant, MaxTurns: 200, Idle: time.Minute}},
		},
	}
	for index := range randomPrograms {
		trace.Programs = append(trace.Programs, randomProgram(random, index))
	}
	for range 2 + random.IntN(maxRandomFaults-1) {
		if fault := randomFault(random, trace.Programs); !trace.hasFaultAtCall(fault.At) {
			trace.Faults = append(trace.Faults, fault)
			trace.allowNotRun(fault.At)
		}
	}
	trace.Faults = append(trace.Faults, randomRules(random)...)
	trace.Bounds.setDefaults()
	return trace
}

// allowNotRun allows the outcome "not-run" for the call of a fault at StepAccepted:
// back ends refuse the call until the fault is injected, so a daemon may give up
// the call before that.
func (t *Trace) allowNotRun(point InjectionPoint) {
	for index := range t.Programs {
		program := &t.Programs[index]
		if point.Step != StepAccepted || program.Name != point.Program {
			continue
		}
		call := &program.Calls[point.Call-1]
		if len(call.Outcomes) == 0 {
			call.Outcomes = []string{"answered"}
		}
		call.Outcomes = append(call.Outcomes, "not-run")
	}
}

// hasFaultAtCall reports whether the trace already has a fault at the same call.
func (t *Trace) hasFaultAtCall(point InjectionPoint) bool {
	return slices.ContainsFunc(t.Faults, func(fault Fault) bool {
		return fault.At.Program == point.Program && fault.At.Call == point.Call
	})
}

func randomProgram(random *rand.Rand, index int) Program {
	program := Program{
		Name:   fmt.Sprintf("program-%d", index),
		Tenant: randomTenant,
		Class:  []string{"interactive", "standard", "batch"}[random.IntN(3)],
		Budget: randomBudget,
		Start:  time.Duration(random.IntN(300)) * time.Millisecond,
	}
	if index > 0 && random.IntN(3) == 0 {
		program.Parent = "program-0"
		program.Budget = randomBudget / randomPrograms
	}
	for turn := range 2 + random.IntN(maxRandomCalls-1) {
		call := randomCall(random, turn)
		call.Pause = time.Duration(random.IntN(300)) * time.Millisecond
		call.Together = 1 + random.IntN(3)
		program.Calls = append(program.Calls, call)
	}
	return program
}

func randomCall(random *rand.Rand, turn int) Call {
	switch random.IntN(5) {
	case 0:
		return Call{Service: randomService, Operation: "book-and-charge", Payload: fmt.Sprint("slot ", turn),
			NotRepeatable: true, Outcomes: []string{"answered", "outcome-unknown"}}
	case 1:
		return Call{Tool: randomTool, Operation: "balance", Payload: fmt.Sprint("debtor ", turn)}
	default:
		return Call{Model: randomModel, Say: fmt.Sprintf("Turn %d. tokens=%d", turn, 10+random.IntN(40)),
			MaxTokens: 64, Stream: random.IntN(2) == 0}
	}
}

// randomFault returns a random fault at a random step of a random call. Only calls
// to models have StepMidStream.
func randomFault(random *rand.Rand, programs []Program) Fault {
	program := programs[random.IntN(len(programs))]
	call := random.IntN(len(program.Calls))
	steps := []Step{StepAccepted, StepDispatched, StepExecuted, StepAnswered}
	if program.Calls[call].Model != "" {
		steps = append(steps, StepMidStream)
	}
	fault := Fault{
		At:     InjectionPoint{Program: program.Name, Call: call + 1, Step: steps[random.IntN(len(steps))]},
		Daemon: []string{targetLeader, targetLeader, targetFollower, targetFirstRunning}[random.IntN(4)],
		For:    200*time.Millisecond + time.Duration(random.Int64N(int64(randomOutageDuration))),

		IfReached: true, // another fault may end the call before its step
	}
	switch random.IntN(5) {
	case 0, 1:
		fault.Do = ActionKill
		fault.Restart = true
	case 2:
		fault.Do = ActionFreeze
		fault.Overlap = true
	case 3:
		fault.Do = ActionIsolate
		fault.Overlap = true
	default:
		fault.Do = ActionRace
		fault.Count = 2 + random.IntN(3)
	}
	return fault
}

// maxLostCommits limits how many store commits are executed but not acknowledged.
const maxLostCommits = 40

// randomRules returns one to three faults of stand-ins. They begin at the start of
// the replay and end after randomOutageDuration, after a number of requests or at
// the end of the programs.
func randomRules(random *rand.Rand) []Fault {
	start := InjectionPoint{Step: StepStart}
	all := []Fault{
		{At: start, Do: ActionRules, Of: "store", For: randomOutageDuration, Rules: []standin.Rule{{Name: "down", Point: standin.PointBefore, Action: standin.ActionRefuse}}},
		{At: start, Do: ActionRules, Of: "store", Rules: []standin.Rule{{Name: "lost", Point: standin.PointAfter, Match: "rows-tx", Action: standin.ActionLose, Times: maxLostCommits}}},
		{At: start, Do: ActionRules, Of: "store", For: randomOutageDuration, Rules: []standin.Rule{{Name: "slow", Point: standin.PointBefore, Action: standin.ActionDelay, DelayMS: 300}}},
		{At: start, Do: ActionRules, Of: "engines", Rules: []standin.Rule{{Name: "cut", Point: standin.PointStream, AfterChunks: 4, Action: standin.ActionLose, Times: 3}}},
		{At: start, Do: ActionRules, Of: "engines", For: randomOutageDuration, Rules: []standin.Rule{{Name: "miss", Point: standin.PointBefore, Match: "release", Action: standin.ActionFail}}},
		{At: start, Do: ActionRules, Of: randomService, Rules: []standin.Rule{{Name: "lose", Point: standin.PointAfter, Action: standin.ActionLose, Times: 1}}},
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+random.IntN(3)]
}

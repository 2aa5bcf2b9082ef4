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
	randomPrograms   = 6
	randomCallsMost  = 6
	randomFaultsMost = 6
	randomBudget     = 3000
	randomOutage     = 4 * time.Second // the longest of a fault
	randomModel      = "tutor-llm"
	randomService    = "desk-app"
	randomTool       = "ledger"
	randomTenant     = "theory-desk"
)

// Random makes the trace of a seed: programs of every kind, and faults of
// every kind at random moments. The same seed makes the same trace.
func Random(seed uint64) Trace {
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
	for number := range randomPrograms {
		trace.Programs = append(trace.Programs, randomProgram(random, number))
	}
	for range 2 + random.IntN(randomFaultsMost-1) {
		if fault := randomFault(random, trace.Programs); !trace.hasFaultIn(fault.At) {
			trace.Faults = append(trace.Faults, fault)
			trace.allowRefusal(fault.At)
		}
	}
	trace.Faults = append(trace.Faults, randomRules(random)...)
	trace.Bounds.fill()
	return trace
}

// allowRefusal allows "not-run" for a call that back ends refuse until its
// fault has come: the daemon may give it up before, truthfully.
func (t *Trace) allowRefusal(moment Moment) {
	for index := range t.Programs {
		program := &t.Programs[index]
		if moment.Step != StepAccepted || program.Name != moment.Program {
			continue
		}
		call := &program.Calls[moment.Call-1]
		if len(call.Outcomes) == 0 {
			call.Outcomes = []string{"answered"}
		}
		call.Outcomes = append(call.Outcomes, "not-run")
	}
}

// hasFaultIn says whether a fault comes in the same call: the steps of two
// might stand in the wrong order, and the second would never come.
func (t *Trace) hasFaultIn(moment Moment) bool {
	return slices.ContainsFunc(t.Faults, func(fault Fault) bool {
		return fault.At.Program == moment.Program && fault.At.Call == moment.Call
	})
}

func randomProgram(random *rand.Rand, number int) Program {
	program := Program{
		Name:   fmt.Sprintf("program-%d", number),
		Tenant: randomTenant,
		Class:  []string{"interactive", "standard", "batch"}[random.IntN(3)],
		Budget: randomBudget,
		Start:  time.Duration(random.IntN(300)) * time.Millisecond,
	}
	if number > 0 && random.IntN(3) == 0 {
		program.Parent = "program-0"
		program.Budget = randomBudget / randomPrograms
	}
	for turn := range 2 + random.IntN(randomCallsMost-1) {
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

// randomFault strikes a daemon at a step of a call that has the step.
func randomFault(random *rand.Rand, programs []Program) Fault {
	program := programs[random.IntN(len(programs))]
	call := random.IntN(len(program.Calls))
	steps := []Step{StepAccepted, StepDispatched, StepExecuted, StepAnswered}
	if program.Calls[call].Model != "" {
		steps = append(steps, StepMidStream)
	}
	fault := Fault{
		At:     Moment{Program: program.Name, Call: call + 1, Step: steps[random.IntN(len(steps))]},
		Daemon: []string{targetLeader, targetLeader, targetFollower, targetOperators}[random.IntN(4)],
		For:    200*time.Millisecond + time.Duration(random.Int64N(int64(randomOutage))),

		IfReached: true, // another fault may end the call before
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

// randomLost is how many commits of the store are done and not answered.
const randomLost = 40

// randomRules are faults of the stand-ins that last, or end after a time.
func randomRules(random *rand.Rand) []Fault {
	start := Moment{Step: StepStart}
	all := []Fault{
		{At: start, Do: ActionRules, Of: "store", For: randomOutage, Rules: []standin.Rule{{Name: "down", Point: standin.PointBefore, Action: standin.ActionRefuse}}},
		{At: start, Do: ActionRules, Of: "store", Rules: []standin.Rule{{Name: "lost", Point: standin.PointAfter, Match: "rows-tx", Action: standin.ActionLose, Times: randomLost}}},
		{At: start, Do: ActionRules, Of: "store", For: randomOutage, Rules: []standin.Rule{{Name: "slow", Point: standin.PointBefore, Action: standin.ActionDelay, DelayMS: 300}}},
		{At: start, Do: ActionRules, Of: "engines", Rules: []standin.Rule{{Name: "cut", Point: standin.PointStream, AfterChunks: 4, Action: standin.ActionLose, Times: 3}}},
		{At: start, Do: ActionRules, Of: "engines", For: randomOutage, Rules: []standin.Rule{{Name: "miss", Point: standin.PointBefore, Match: "release", Action: standin.ActionFail}}},
		{At: start, Do: ActionRules, Of: randomService, Rules: []standin.Rule{{Name: "lose", Point: standin.PointAfter, Action: standin.ActionLose, Times: 1}}},
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+random.IntN(3)]
}

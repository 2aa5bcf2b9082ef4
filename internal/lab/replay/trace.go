// Package replay runs traces against real daemon processes. A trace lists
// programs with their calls, the faults to inject at given steps of those
// calls, and the outcomes that are allowed. The store, engines and services are
// stand-ins: simulations that run in the process of this package. After the run,
// the package checks the scheduler's guarantees from what callers received and
// what the stand-ins recorded.
package replay

import (
	"bytes"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// Trace is a replay scenario, as read from a YAML file.
type Trace struct {
	Name        string           `yaml:"name"`
	Description string           `yaml:"description,omitempty"`
	Deployment  fleet.Deployment `yaml:"deployment"`
	Arguments   []string         `yaml:"arguments,omitempty"` // additional command-line arguments of every daemon
	Programs    []Program        `yaml:"programs"`
	Faults      []Fault          `yaml:"faults,omitempty"`
	Bounds      Bounds           `yaml:"bounds,omitempty"`
}

// Bounds are time limits of a replay and its checks. Zero means the default.
type Bounds struct {
	Memory        time.Duration `yaml:"memory,omitempty"`        // how long to wait, after all programs, for engines to release the memory of ended ones
	Configuration time.Duration `yaml:"configuration,omitempty"` // from the acceptance of a revision until no daemon serves an earlier one
	Leaving       time.Duration `yaml:"leaving,omitempty"`       // from marking a back end as leaving until it receives its last request
	Caller        time.Duration `yaml:"caller,omitempty"`        // timeout of a call, and of creating or ending a program
}

// Program is a program of the trace and the behavior of its caller.
type Program struct {
	Name     string        `yaml:"name"`
	Tenant   string        `yaml:"tenant"`
	Class    string        `yaml:"class,omitempty"`
	Parent   string        `yaml:"parent,omitempty"` // name of an earlier program
	Budget   int64         `yaml:"budget,omitempty"` // in tokens
	Turns    uint64        `yaml:"max_turns,omitempty"`
	Idle     time.Duration `yaml:"idle,omitempty"`     // idle timeout
	Start    time.Duration `yaml:"start,omitempty"`    // delay before the program is created
	Copies   int           `yaml:"copies,omitempty"`   // number of identical programs that run concurrently; 0 means 1
	Abandon  bool          `yaml:"abandon,omitempty"`  // the caller does not end the program
	Disorder bool          `yaml:"disorder,omitempty"` // also submit each call but the first before its turn, and all calls again at the end
	Ends     string        `yaml:"ends,omitempty"`     // expected reason for the end of the program; empty: not checked
	Refused  problem.Kind  `yaml:"refused,omitempty"`  // kind of problem with which its creation may be refused; empty: none
	Calls    []Call        `yaml:"calls"`
}

// Call is a call to a model, a service or a tool.
type Call struct {
	Model         string        `yaml:"model,omitempty"`
	Adapter       string        `yaml:"adapter,omitempty"`
	Opening       string        `yaml:"opening,omitempty"` // system message, repeated Words times
	Words         int           `yaml:"words,omitempty"`   // 0 means 1
	Say           string        `yaml:"say,omitempty"`     // user message
	MaxTokens     int64         `yaml:"max_tokens,omitempty"`
	Service       string        `yaml:"service,omitempty"`
	Tool          string        `yaml:"tool,omitempty"`
	Operation     string        `yaml:"operation,omitempty"`
	Payload       string        `yaml:"payload,omitempty"`
	NotRepeatable bool          `yaml:"not_repeatable,omitempty"`
	Stream        bool          `yaml:"stream,omitempty"`
	Deadline      time.Duration `yaml:"deadline,omitempty"`
	Pause         time.Duration `yaml:"pause,omitempty"`     // wait before the call, and before each repetition
	Repeat        int           `yaml:"repeat,omitempty"`    // number of consecutive calls; 0 means 1
	Identical     bool          `yaml:"identical,omitempty"` // do not number the text of repeated calls
	Together      int           `yaml:"together,omitempty"`  // number of concurrent submissions of the same call; 0 means 1
	Outcomes      []string      `yaml:"outcomes,omitempty"`  // allowed outcomes; empty means "answered"
	// Interrupted lists outcomes that are also allowed if a daemon was killed while the call was in progress.
	Interrupted []string `yaml:"interrupted,omitempty"`
}

// Step is a point in the life of the replay, a program or a call.
type Step string

// The steps, in the order in which they are reached.
const (
	StepStart      Step = "start"      // before the first program is created
	StepCreated    Step = "created"    // the program was created
	StepAccepted   Step = "accepted"   // the call is in the log, and a back end has refused to run it
	StepDispatched Step = "dispatched" // a back end received the call and has not begun to run it
	StepMidStream  Step = "mid-stream" // the engine has sent the first chunks of the answer
	StepExecuted   Step = "executed"   // the back end has run the call and not yet sent the end of its answer
	StepAnswered   Step = "answered"   // the outcome is committed, and the caller has not read it
	StepEnded      Step = "ended"      // the program has ended, or its caller has abandoned it
)

var stepOrder = []Step{
	StepStart, StepCreated, StepAccepted, StepDispatched, StepMidStream, StepExecuted, StepAnswered, StepEnded,
}

// InjectionPoint is the step at which a fault is injected.
type InjectionPoint struct {
	Program string `yaml:"program,omitempty"`
	Call    int    `yaml:"call,omitempty"` // number of the call, from 1; 0 if the step belongs to no call
	Step    Step   `yaml:"step"`
}

// Action is what a fault does.
type Action string

// The actions.
const (
	ActionKill    Action = "kill"    // SIGKILL to a daemon
	ActionFreeze  Action = "freeze"  // SIGSTOP to a daemon, then SIGCONT after For
	ActionIsolate Action = "isolate" // disconnect a zone from the network for the time For
	ActionStop    Action = "stop"    // SIGTERM to a daemon
	ActionRules   Action = "rules"   // add fault rules to stand-ins, and remove them after For
	ActionRace    Action = "race"    // several operators change the configuration concurrently
	ActionLeave   Action = "leave"   // mark a back end as leaving in the machine list
	ActionDrain   Action = "drain"   // drain a back end, as an operator would
)

// Fault is a fault to inject, and the step at which to inject it.
type Fault struct {
	At        InjectionPoint `yaml:"at"`
	Do        Action         `yaml:"do"`
	Daemon    string         `yaml:"daemon,omitempty"`     // "leader", "successor" or "follower" of the program's shard, "operators", or the name of a daemon; empty: the leader, or at StepStart the first daemon of Zone
	Zone      string         `yaml:"zone,omitempty"`       // isolate: the zone; empty: that of the daemon
	For       time.Duration  `yaml:"for,omitempty"`        // how long the fault lasts; zero: until all programs have ended
	Release   time.Duration  `yaml:"release,omitempty"`    // how long the call stays at its step after the fault was injected
	Overlap   bool           `yaml:"overlap,omitempty"`    // inject the fault even if the fleet has not recovered from another
	IfReached bool           `yaml:"if_reached,omitempty"` // skip the fault if its call ends before the step; without it, that is an error
	Restart   bool           `yaml:"restart,omitempty"`    // kill, stop: start a new process on the machine after For
	Of        string         `yaml:"of,omitempty"`         // rules: "store", "machines", "engines", or the name of a model, service, tool or back end; leave, drain: the name of a back end
	Rules     []standin.Rule `yaml:"rules,omitempty"`
	Count     int            `yaml:"count,omitempty"` // race: number of operators, at least 2
}

// Defaults of Bounds.
const (
	defaultMemoryBound        = 30 * time.Second
	defaultConfigurationBound = 10 * time.Second
	defaultLeavingBound       = 5 * time.Second
	defaultCallerTimeout      = 60 * time.Second
)

// Load reads a trace from a YAML file and validates it. Unknown fields are an error.
func Load(path string) (Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, eris.Wrap(err, "read trace")
	}
	return Parse(path, content)
}

// Parse decodes a trace from YAML and validates it. Unknown fields are an error.
// Errors contain the given name.
func Parse(name string, content []byte) (Trace, error) {
	var trace Trace
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&trace); err != nil {
		return Trace{}, eris.Errorf("trace %s: %s", name, yaml.FormatError(err, false, true))
	}
	trace.Bounds.setDefaults()
	return trace, trace.validate()
}

func (b *Bounds) setDefaults() {
	setDefault(&b.Memory, defaultMemoryBound)
	setDefault(&b.Configuration, defaultConfigurationBound)
	setDefault(&b.Leaving, defaultLeavingBound)
	setDefault(&b.Caller, defaultCallerTimeout)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// validate returns an error if the parent of a program is not defined before it, or if a
// fault refers to a program or call that is not defined.
func (t *Trace) validate() error {
	names := map[string]int{}
	for _, program := range t.Programs {
		if _, found := names[program.Parent]; program.Parent != "" && !found {
			return eris.Errorf("trace %s: parent %q of program %q is not defined before it", t.Name, program.Parent, program.Name)
		}
		names[program.Name] = len(program.Calls)
	}
	for _, fault := range t.Faults {
		calls, found := names[fault.At.Program]
		if fault.At.Step != StepStart && (!found || fault.At.Call > calls) {
			return eris.Errorf("trace %s: a fault refers to call %d of %q, which is not defined", t.Name, fault.At.Call, fault.At.Program)
		}
	}
	return nil
}

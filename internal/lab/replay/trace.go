// Package replay runs recorded traces with real daemon processes: recorded
// calls, faults at moments in logical order, and outcomes that are checked
// from the stand-ins' own records.
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

// Trace is a recorded trace as it stands in a file.
type Trace struct {
	Name        string           `yaml:"name"`
	Description string           `yaml:"description,omitempty"`
	Deployment  fleet.Deployment `yaml:"deployment"`
	Arguments   []string         `yaml:"arguments,omitempty"` // further flags of every daemon
	Programs    []Program        `yaml:"programs"`
	Faults      []Fault          `yaml:"faults,omitempty"`
	Bounds      Bounds           `yaml:"bounds,omitempty"`
}

// Bounds are the times after which a promise must hold. Zero: the default.
type Bounds struct {
	Memory        time.Duration `yaml:"memory,omitempty"`        // from the end of a program to the release of what engines hold for it
	Configuration time.Duration `yaml:"configuration,omitempty"` // from acceptance to force everywhere
	Leaving       time.Duration `yaml:"leaving,omitempty"`       // from a mark to the last new work
	Caller        time.Duration `yaml:"caller,omitempty"`        // a caller's patience with one call
}

// Program is one recorded program and its caller.
type Program struct {
	Name     string        `yaml:"name"`
	Tenant   string        `yaml:"tenant"`
	Class    string        `yaml:"class,omitempty"`
	Parent   string        `yaml:"parent,omitempty"` // name of an earlier program
	Budget   int64         `yaml:"budget,omitempty"`
	Turns    uint64        `yaml:"max_turns,omitempty"`
	Idle     time.Duration `yaml:"idle,omitempty"`
	Start    time.Duration `yaml:"start,omitempty"`
	Copies   int           `yaml:"copies,omitempty"`   // programs alike, at once; 1 by default
	Abandon  bool          `yaml:"abandon,omitempty"`  // its caller never ends it
	Disorder bool          `yaml:"disorder,omitempty"` // each call is also submitted before its turn, and once more after all
	Ends     string        `yaml:"ends,omitempty"`     // the reason of its end; "caller" by default
	Refused  problem.Kind  `yaml:"refused,omitempty"`  // the kind of problem with which its creation may be refused
	Calls    []Call        `yaml:"calls"`
}

// Call is one recorded call.
type Call struct {
	Model         string        `yaml:"model,omitempty"`
	Adapter       string        `yaml:"adapter,omitempty"`
	Opening       string        `yaml:"opening,omitempty"` // a shared text that comes first, repeated Words times
	Words         int           `yaml:"words,omitempty"`
	Say           string        `yaml:"say,omitempty"`
	MaxTokens     int64         `yaml:"max_tokens,omitempty"`
	Service       string        `yaml:"service,omitempty"`
	Tool          string        `yaml:"tool,omitempty"`
	Operation     string        `yaml:"operation,omitempty"`
	Payload       string        `yaml:"payload,omitempty"`
	NotRepeatable bool          `yaml:"not_repeatable,omitempty"`
	Stream        bool          `yaml:"stream,omitempty"`
	Deadline      time.Duration `yaml:"deadline,omitempty"`
	Pause         time.Duration `yaml:"pause,omitempty"`     // before the call
	Repeat        int           `yaml:"repeat,omitempty"`    // turns alike, one after the other; 1 by default
	Identical     bool          `yaml:"identical,omitempty"` // repeated without a number
	Together      int           `yaml:"together,omitempty"`  // submissions of the same call at once, through several daemons
	Outcomes      []string      `yaml:"outcomes,omitempty"`  // that are right; "answered" by default
	// Interrupted are further outcomes that are right only for a call that was under way when a daemon was killed.
	Interrupted []string `yaml:"interrupted,omitempty"`
}

// Step is a moment in a call's life.
type Step string

// The steps, in order.
const (
	StepStart      Step = "start"      // of the replay
	StepCreated    Step = "created"    // the program is created
	StepAccepted   Step = "accepted"   // in the log, every back end refuses it
	StepDispatched Step = "dispatched" // at the back end, nothing done yet
	StepMidStream  Step = "mid-stream" // some of the answer is out
	StepExecuted   Step = "executed"   // the back end is done, its answer not out
	StepAnswered   Step = "answered"   // committed, not yet read by its caller
	StepEnded      Step = "ended"      // the program is ended
)

var steps = []Step{
	StepStart, StepCreated, StepAccepted, StepDispatched, StepMidStream, StepExecuted, StepAnswered, StepEnded,
}

// Moment is when a fault comes.
type Moment struct {
	Program string `yaml:"program,omitempty"`
	Call    int    `yaml:"call,omitempty"` // from 1
	Step    Step   `yaml:"step"`
}

// Action is what a fault does.
type Action string

// The actions.
const (
	ActionKill    Action = "kill"    // SIGKILL to a daemon
	ActionFreeze  Action = "freeze"  // SIGSTOP to a daemon, SIGCONT after For
	ActionIsolate Action = "isolate" // cut a zone off for the time For
	ActionStop    Action = "stop"    // SIGTERM to a daemon
	ActionRules   Action = "rules"   // rules of stand-ins, taken away after For
	ActionRace    Action = "race"    // operators change the configuration at once
	ActionLeave   Action = "leave"   // a back end is listed as leaving
	ActionDrain   Action = "drain"   // a back end is drained by an operator
)

// Fault is one failure at its moment.
type Fault struct {
	At        Moment         `yaml:"at"`
	Do        Action         `yaml:"do"`
	Daemon    string         `yaml:"daemon,omitempty"`     // "leader" of the program's shard, its "successor", "follower", "configuration-leader", or a name
	Zone      string         `yaml:"zone,omitempty"`       // isolate: by default the daemon's
	For       time.Duration  `yaml:"for,omitempty"`        // zero: to the end of the programs
	Release   time.Duration  `yaml:"release,omitempty"`    // how long the call is held at its step after the fault
	Overlap   bool           `yaml:"overlap,omitempty"`    // comes also while the fleet has not healed from another
	IfReached bool           `yaml:"if_reached,omitempty"` // does not come if its call ends before the step; else that is an error
	Restart   bool           `yaml:"restart,omitempty"`    // kill, stop: a new process starts on the machine after For
	Of        string         `yaml:"of,omitempty"`         // rules, leave, drain: "store", "engines", or the name of a service or back end
	Rules     []standin.Rule `yaml:"rules,omitempty"`
	Count     int            `yaml:"count,omitempty"` // race: operators
}

// Defaults of the bounds.
const (
	defaultMemoryBound        = 30 * time.Second
	defaultConfigurationBound = 10 * time.Second
	defaultLeavingBound       = 5 * time.Second
	defaultPatience           = 60 * time.Second
)

// Load reads a trace from a file; unknown fields are an error with the line.
func Load(path string) (Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, eris.Wrap(err, "read trace")
	}
	return Parse(path, content)
}

// Parse reads a trace; the name is for errors.
func Parse(name string, content []byte) (Trace, error) {
	var trace Trace
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&trace); err != nil {
		return Trace{}, eris.Errorf("trace %s: %s", name, yaml.FormatError(err, false, true))
	}
	trace.Bounds.fill()
	return trace, trace.check()
}

func (b *Bounds) fill() {
	setDefault(&b.Memory, defaultMemoryBound)
	setDefault(&b.Configuration, defaultConfigurationBound)
	setDefault(&b.Leaving, defaultLeavingBound)
	setDefault(&b.Caller, defaultPatience)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// check refuses a trace that names what is not there.
func (t *Trace) check() error {
	names := map[string]int{}
	for _, program := range t.Programs {
		if _, found := names[program.Parent]; program.Parent != "" && !found {
			return eris.Errorf("trace %s: parent %q of %q does not come before it", t.Name, program.Parent, program.Name)
		}
		names[program.Name] = len(program.Calls)
	}
	for _, fault := range t.Faults {
		calls, found := names[fault.At.Program]
		if fault.At.Step != StepStart && (!found || fault.At.Call > calls) {
			return eris.Errorf("trace %s: a fault comes at call %d of %q, which is not there", t.Name, fault.At.Call, fault.At.Program)
		}
	}
	return nil
}

// Package standin has the common parts of the lab's stand-ins: HTTP servers
// that replace an external service in tests. It injects faults that are
// configured over HTTP, limits request rates, and reads and writes JSON bodies.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// PathFaults is the path of the fault rules. POST replaces all rules with
// those of a FaultList; GET returns the current FaultList.
const PathFaults = "/lab/faults"

// PathRecords is the path at which GET returns what a stand-in recorded.
const PathRecords = "/lab/records"

// Point is the point in the handling of a request at which a rule applies.
type Point string

// The points at which rules apply.
const (
	PointBefore Point = "before" // before the request is processed
	PointStream Point = "stream" // after AfterChunks chunks of a streamed response
	PointAfter  Point = "after"  // after processing, before the response is sent
)

// Action is what a rule does to a request.
type Action string

// The actions.
const (
	ActionDelay  Action = "delay"  // wait for DelayMS, then continue
	ActionHold   Action = "hold"   // wait until the rule is removed, then continue
	ActionLose   Action = "lose"   // close the connection without a response
	ActionRefuse Action = "refuse" // respond with 503 and enginev1.HeaderNeverStarted
	ActionFail   Action = "fail"   // respond with 500
)

// Rule injects a fault into the requests that it matches.
type Rule struct {
	Name        string `json:"name"`
	Point       Point  `json:"point"`
	Match       string `json:"match,omitempty"` // substring of the request key; empty matches every request
	Action      Action `json:"action"`
	DelayMS     int    `json:"delay_ms,omitempty"`     // for ActionDelay, in milliseconds
	AfterChunks int    `json:"after_chunks,omitempty"` // for PointStream: chunks sent before the rule applies
	Times       int    `json:"times,omitempty"`        // number of requests to match; 0 means no limit
}

// RuleState is a rule with its counters.
type RuleState struct {
	Rule
	Met     int `json:"met"`     // requests that the rule matched
	Holding int `json:"holding"` // requests that ActionHold blocks now
}

// FaultList is the request and response body of PathFaults. The counters in a
// request are ignored.
type FaultList struct {
	Rules []RuleState `json:"rules"`
}

// activeRule is a rule in force.
type activeRule struct {
	state   RuleState
	removed chan struct{} // closed when the rule is removed
}

// Faults are the fault rules of one stand-in, applied in the order in which
// they were added. Safe for concurrent use.
type Faults struct {
	mutex sync.Mutex
	rules []*activeRule
}

// Set replaces all rules. Requests that wait because of a replaced rule continue.
func (f *Faults) Set(rules []Rule) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, replaced := range f.rules {
		close(replaced.removed)
	}
	f.rules = nil
	for _, rule := range rules {
		f.add(rule)
	}
}

// Add appends a rule after the existing ones.
func (f *Faults) Add(rule Rule) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.add(rule)
}

func (f *Faults) add(rule Rule) {
	f.rules = append(f.rules, &activeRule{state: RuleState{Rule: rule}, removed: make(chan struct{})})
}

// Remove removes all rules with this name. Requests that wait because of them
// continue.
func (f *Faults) Remove(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rules = slices.DeleteFunc(f.rules, func(rule *activeRule) bool {
		if rule.state.Name != name {
			return false
		}
		close(rule.removed)
		return true
	})
}

// List returns the current rules with their counters.
func (f *Faults) List() FaultList {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := FaultList{Rules: []RuleState{}}
	for _, rule := range f.rules {
		list.Rules = append(list.Rules, rule.state)
	}
	return list
}

// Inject applies the rules that match the point and the request key, and returns
// the action that the caller must carry out, or "" for none. It blocks for
// ActionDelay and ActionHold until the wait ends, the rule is removed or ctx
// ends. It returns at the first rule with ActionRefuse or ActionFail; after a
// rule with ActionLose it first applies the remaining rules. The chunks parameter
// is the number of chunks sent so far and matters for PointStream only.
func (f *Faults) Inject(ctx context.Context, point Point, key string, chunks int) Action {
	var lost Action
	for _, rule := range f.matchRules(point, key, chunks) {
		switch rule.state.Action {
		case ActionDelay:
			waitFor(ctx, time.Duration(rule.state.DelayMS)*time.Millisecond, rule.removed)
		case ActionHold:
			f.waitUntilRemoved(ctx, rule)
		case ActionLose:
			lost = ActionLose
		default:
			return rule.state.Action
		}
	}
	return lost
}

// matchRules returns the matching rules and increments their Met counters.
func (f *Faults) matchRules(point Point, key string, chunks int) []*activeRule {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var matched []*activeRule
	for _, rule := range f.rules {
		state := &rule.state
		exhausted := state.Times > 0 && state.Met >= state.Times
		if state.Point != point || exhausted || !strings.Contains(key, state.Match) {
			continue
		}
		if point == PointStream && chunks != state.AfterChunks {
			continue
		}
		state.Met++
		matched = append(matched, rule)
	}
	return matched
}

func (f *Faults) waitUntilRemoved(ctx context.Context, rule *activeRule) {
	f.addHolding(rule, 1)
	defer f.addHolding(rule, -1)
	select {
	case <-rule.removed:
	case <-ctx.Done():
	}
}

func (f *Faults) addHolding(rule *activeRule, change int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rule.state.Holding += change
}

func waitFor(ctx context.Context, duration time.Duration, removed <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-removed:
	case <-ctx.Done():
	}
}

// ServeHTTP implements http.Handler for PathFaults.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var list FaultList
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		rules := make([]Rule, 0, len(list.Rules))
		for _, state := range list.Rules {
			rules = append(rules, state.Rule)
		}
		f.Set(rules)
	}
	WriteJSON(w, http.StatusOK, f.List())
}

package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// TurnLocations records at which engine each program's turns ran, by the last part of the turn's prompt,
// and which daemon recorded each turn. The holder of a program's budget learns of all the program's
// turns, whichever daemon they came to. It can therefore tell the next daemon which engine has read
// most of a prompt, and which daemon has the previous turn in memory. Both are hints. Trails is
// safe for concurrent use.
type TurnLocations struct {
	mutex    sync.Mutex
	programs *expirable.LRU[string, *programTrail]
}

// maxPartsPerProgram is the number of parts kept for each program; beyond it the oldest is dropped.
const maxPartsPerProgram = 64

type programTrail struct {
	engines map[string]string // by part of a prompt
	parts   []string          // keys of engines, oldest first
	// recordedTurns are the last maxTurnsPerProgram recorded turns, oldest first.
	recordedTurns []recordedTurn
}

// recordedTurn is a turn and the address of the daemon that recorded it.
type recordedTurn struct{ turn, daemon string }

// maxTurnsPerProgram is the number of recorded turns kept for each program. A program continues one
// of its last few turns, even if it runs several conversations at once.
const maxTurnsPerProgram = 16

// newTrails returns Trails that keep up to maxPrograms programs. A program is dropped when its
// trail is older than ttl.
func newTrails(maxPrograms int, ttl time.Duration) *TurnLocations {
	return &TurnLocations{programs: expirable.NewLRU[string, *programTrail](maxPrograms, nil, ttl)}
}

// recordEngine records that an engine has read a prompt up to and including the part. It does
// nothing if the part or the engine is empty.
func (t *TurnLocations) recordEngine(program, part, engine string) {
	if part == "" || engine == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	trail := t.trailOf(program)
	if _, exists := trail.engines[part]; !exists {
		trail.parts = append(trail.parts, part)
	}
	trail.engines[part] = engine
	if len(trail.parts) > maxPartsPerProgram {
		delete(trail.engines, trail.parts[0])
		trail.parts = trail.parts[1:]
	}
}

// trailOf returns the trail of a program, and creates it if there is none. The caller holds the
// mutex.
func (t *TurnLocations) trailOf(program string) *programTrail {
	trail, found := t.programs.Get(program)
	if !found {
		trail = &programTrail{engines: map[string]string{}}
		t.programs.Add(program, trail)
	}
	return trail
}

// recordTurn stores at which engine a settled turn ran, and which daemon recorded the turn, if one
// did.
func (t *TurnLocations) recordTurn(ran TurnLocation) {
	t.recordEngine(ran.Program, ran.Part, ran.Engine)
	if ran.Turn == "" || ran.Daemon == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	trail := t.trailOf(ran.Program)
	trail.recordedTurns = append(trail.recordedTurns, recordedTurn{turn: ran.Turn, daemon: ran.Daemon})
	trail.recordedTurns = trail.recordedTurns[max(0, len(trail.recordedTurns)-maxTurnsPerProgram):]
}

// recordedAt returns the address of the daemon that recorded a turn, or "" if not known.
func (t *TurnLocations) recordedAt(program, turn string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	trail, found := t.programs.Get(program)
	if !found || turn == "" {
		return ""
	}
	for _, each := range slices.Backward(trail.recordedTurns) {
		if each.turn == turn {
			return each.daemon
		}
	}
	return ""
}

// findEngine returns the engine that has read the longest prefix of a prompt, and the number of
// parts in that prefix; "" and 0 if none is known.
func (t *TurnLocations) findEngine(program string, parts []string) (engine string, partsRead int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	trail, found := t.programs.Get(program)
	if !found {
		return "", 0
	}
	for index := len(parts) - 1; index >= 0; index-- {
		if engine, exists := trail.engines[parts[index]]; exists {
			return engine, index + 1
		}
	}
	return "", 0
}

package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// TurnLocations records at which engine each program's turns ran, by the last part of the turn's
// prompt, and which daemon recorded each turn. The holder of a program's budget receives the
// locations of all the program's turns, whichever daemon they arrived at. It can therefore report
// to the next daemon which engine has read most of a prompt, and which daemon has the previous turn
// in memory. Both are hints. TurnLocations is safe for concurrent use.
type TurnLocations struct {
	mutex    sync.Mutex
	programs *expirable.LRU[string, *programLocations]
}

// maxPartsPerProgram is the number of parts stored for each program; beyond it the oldest is
// dropped.
const maxPartsPerProgram = 64

type programLocations struct {
	engines map[string]string // by part of a prompt
	parts   []string          // keys of engines, oldest first
	// recordedTurns are the last maxTurnsPerProgram recorded turns, oldest first.
	recordedTurns []recordedTurn
}

// recordedTurn is a turn and the address of the daemon that recorded it.
type recordedTurn struct{ turn, daemon string }

// maxTurnsPerProgram is the number of recorded turns stored for each program. A program continues
// one of its last few turns, even if it runs several conversations at once.
const maxTurnsPerProgram = 16

// newTurnLocations returns TurnLocations that store up to maxPrograms programs. A program is
// dropped when its entry is older than ttl.
func newTurnLocations(maxPrograms int, ttl time.Duration) *TurnLocations {
	return &TurnLocations{programs: expirable.NewLRU[string, *programLocations](maxPrograms, nil, ttl)}
}

// recordEngine records that an engine has read a prompt up to and including the part. It does
// nothing if the part or the engine is empty.
func (t *TurnLocations) recordEngine(program, part, engine string) {
	if part == "" || engine == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	locations := t.getOrCreateLocations(program)
	if _, exists := locations.engines[part]; !exists {
		locations.parts = append(locations.parts, part)
	}
	locations.engines[part] = engine
	if len(locations.parts) > maxPartsPerProgram {
		delete(locations.engines, locations.parts[0])
		locations.parts = locations.parts[1:]
	}
}

// getOrCreateLocations returns the locations of a program's turns, and adds an entry if there is
// none. The caller holds the mutex.
func (t *TurnLocations) getOrCreateLocations(program string) *programLocations {
	locations, found := t.programs.Get(program)
	if !found {
		locations = &programLocations{engines: map[string]string{}}
		t.programs.Add(program, locations)
	}
	return locations
}

// recordTurn stores at which engine a settled turn ran, and which daemon recorded the turn, if one
// did.
func (t *TurnLocations) recordTurn(location TurnLocation) {
	t.recordEngine(location.Program, location.Part, location.Engine)
	if location.Turn == "" || location.Daemon == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	locations := t.getOrCreateLocations(location.Program)
	locations.recordedTurns = append(locations.recordedTurns, recordedTurn{turn: location.Turn, daemon: location.Daemon})
	locations.recordedTurns = locations.recordedTurns[max(0, len(locations.recordedTurns)-maxTurnsPerProgram):]
}

// recorderAddress returns the address of the daemon that recorded a turn, or "" if not known.
func (t *TurnLocations) recorderAddress(program, turn string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	locations, found := t.programs.Get(program)
	if !found || turn == "" {
		return ""
	}
	for _, each := range slices.Backward(locations.recordedTurns) {
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
	locations, found := t.programs.Get(program)
	if !found {
		return "", 0
	}
	for index := len(parts) - 1; index >= 0; index-- {
		if engine, exists := locations.engines[parts[index]]; exists {
			return engine, index + 1
		}
	}
	return "", 0
}

package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// Trails are the engines at which programs' turns ran, by the last part of the
// turn's prompt. The holder of a program's budget hears of each of its turns,
// through whichever daemon it came, so it can tell the next daemon which engine
// has read most of a prompt, and which daemon has the turn before it in memory. Both
// are hints. It is safe for concurrent use.
type Trails struct {
	mutex    sync.Mutex
	programs *expirable.LRU[string, *trail]
}

// partsTrailed bounds what is remembered of one program; the oldest part gives way.
const partsTrailed = 64

type trail struct {
	engines map[string]string // by part
	order   []string          // parts, the oldest first
	// kept are the turns that were recorded last, the oldest first.
	kept []keptTurn
}

// keptTurn is which daemon recorded a turn.
type keptTurn struct{ turn, daemon string }

// turnsTrailed bounds the recorded turns that are remembered of one program: a program
// goes on from one of its last few, also where it runs several lines of turns at once.
const turnsTrailed = 16

// newTrails makes trails of so many programs, each remembered for so long.
func newTrails(entries int, keep time.Duration) *Trails {
	return &Trails{programs: expirable.NewLRU[string, *trail](entries, nil, keep)}
}

// note takes in that an engine read a prompt up to this part.
func (t *Trails) note(program, part, engine string) {
	if part == "" || engine == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.of(program)
	if _, noted := known.engines[part]; !noted {
		known.order = append(known.order, part)
	}
	known.engines[part] = engine
	if len(known.order) > partsTrailed {
		delete(known.engines, known.order[0])
		known.order = known.order[1:]
	}
}

// of returns the trail of a program; the caller holds the mutex.
func (t *Trails) of(program string) *trail {
	known, found := t.programs.Get(program)
	if !found {
		known = &trail{engines: map[string]string{}}
		t.programs.Add(program, known)
	}
	return known
}

// settled takes in what a settlement tells.
func (t *Trails) settled(ran Ran) {
	t.note(ran.Program, ran.Part, ran.Engine)
	if ran.Turn == "" || ran.Daemon == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.of(ran.Program)
	known.kept = append(known.kept, keptTurn{turn: ran.Turn, daemon: ran.Daemon})
	known.kept = known.kept[max(0, len(known.kept)-turnsTrailed):]
}

// keptAt returns the address of the daemon that recorded a turn; "": it is not known.
func (t *Trails) keptAt(program, turn string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.programs.Get(program)
	if !found || turn == "" {
		return ""
	}
	for _, each := range slices.Backward(known.kept) {
		if each.turn == turn {
			return each.daemon
		}
	}
	return ""
}

// find returns the engine that read the longest part of a prompt, and how many of
// the parts it read. It returns "" if none is known.
func (t *Trails) find(program string, parts []string) (engine string, read int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.programs.Get(program)
	if !found {
		return "", 0
	}
	for index := len(parts) - 1; index >= 0; index-- {
		if engine, noted := known.engines[parts[index]]; noted {
			return engine, index + 1
		}
	}
	return "", 0
}

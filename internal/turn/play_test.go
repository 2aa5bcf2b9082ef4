package turn_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// Of the play. Rows are small, so that some turns need several commits.
const (
	playRowBytes = 600
	playKeep     = time.Minute
	playPatience = 20 * time.Millisecond // with partitions that are down
)

// playedTurn is what the play knows of a turn.
type playedTurn struct {
	history string
	saved   time.Time
	certain bool // Save returned nil
}

// playedDaemon is one daemon's memory.
type playedDaemon struct {
	records *turn.Records
	removal *retention.Queue
}

// play is daemons that come and go on one store.
type play struct {
	t       *rapid.T
	random  *rand.Rand
	store   *memorystore.Store
	now     time.Time
	daemons []playedDaemon
	names   []string
	turns   map[string]playedTurn
	commons [][]byte
	down    bool
}

func newPlay(t *rapid.T) *play {
	made := &play{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		store: memorystore.New(), now: time.Unix(1000000, 0), turns: map[string]playedTurn{},
	}
	first := randomText(made.random, 2500)
	for _, rest := range []int{0, 1000, 4000} { // all begin alike
		made.commons = append(made.commons, append(append([]byte(nil), first...), randomText(made.random, rest)...))
	}
	for range 3 {
		made.daemons = append(made.daemons, made.daemon())
	}
	return made
}

func (p *play) clock() time.Time { return p.now }

func (p *play) client() *state.Client {
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	return state.NewClient(state.ClientOptions{Store: p.store, Availability: availability, NotHedged: true})
}

func (p *play) daemon() playedDaemon {
	client := p.client()
	removal := retention.NewQueue(client, p.clock, zap.NewNop())
	return playedDaemon{removal: removal, records: turn.NewRecords(turn.Options{
		Store: client, RowBytes: playRowBytes, CacheEntries: 5, CacheBytes: 20000, PieceBytes: 30000, CacheFor: time.Hour, Now: p.clock, Removal: removal,
	})}
}

// context bounds a call where not all partitions answer.
func (p *play) context() (context.Context, context.CancelFunc) {
	if p.down {
		return context.WithTimeout(context.Background(), playPatience)
	}
	return context.WithCancel(context.Background())
}

func (p *play) any() playedDaemon {
	return p.daemons[rapid.IntRange(0, len(p.daemons)-1).Draw(p.t, "daemon")]
}

// kept draws a turn whose retention is not over; false: there is none.
func (p *play) kept() (string, bool) {
	var kept []string
	for _, name := range p.names {
		if p.turns[name].certain && !p.now.After(p.turns[name].saved.Add(playKeep)) {
			kept = append(kept, name)
		}
	}
	if len(kept) == 0 {
		return "", false
	}
	if rapid.IntRange(0, 3).Draw(p.t, "newest") > 0 {
		return kept[len(kept)-1], true // conversations that last
	}
	return rapid.SampledFrom(kept).Draw(p.t, "turn"), true
}

// Save begins a conversation, or goes on from a turn.
func (p *play) Save(t *rapid.T) {
	ctx, cancel := p.context()
	defer cancel()
	records := p.any().records
	added := turn.Addition{Input: randomText(p.random, rapid.IntRange(1, 3000).Draw(t, "input")), Output: randomText(p.random, rapid.IntRange(0, 6000).Draw(t, "output"))}
	previous, some := p.kept()
	history := ""
	if some && rapid.IntRange(0, 4).Draw(t, "begin") > 0 {
		loaded, err := records.Load(ctx, previous, "")
		if !p.judge(previous, loaded, err) {
			return
		}
		added.Previous, history = loaded, p.turns[previous].history
	} else {
		common := p.commons[rapid.IntRange(0, len(p.commons)-1).Draw(t, "common")]
		added.Input = append(append([]byte(nil), common...), added.Input...)
	}
	name := fmt.Sprint("t", len(p.names))
	err := records.Save(ctx, name, added, playKeep)
	p.names = append(p.names, name)
	p.turns[name] = playedTurn{history: history + string(added.Input) + string(added.Output), saved: p.now, certain: err == nil}
	if err != nil && !p.down {
		t.Fatalf("save %s: %v", name, err)
	}
}

// judge tells whether a turn was had; anything but its bytes or doubt is a failure,
// and so is doubt while all partitions answer.
func (p *play) judge(name string, loaded *turn.Turn, err error) bool {
	switch {
	case err == nil && historyOf(loaded) == p.turns[name].history:
		return true
	case err == nil:
		p.t.Fatalf("turn %s: %d wrong bytes", name, loaded.Length())
	case errors.Is(err, turn.ErrNotFound):
		p.t.Fatalf("turn %s: not found", name)
	case !p.down:
		p.t.Fatalf("turn %s: %v while the whole store answers", name, err)
	}
	return false
}

// Load reads a turn at a daemon that was just started.
func (p *play) Load(t *rapid.T) {
	name, some := p.kept()
	if !some {
		t.Skip("nothing is kept")
	}
	ctx, cancel := p.context()
	defer cancel()
	loaded, err := p.daemon().records.Load(ctx, name, "")
	p.judge(name, loaded, err)
}

// Lose replaces a daemon; what it was to remove is left to the sweep.
func (p *play) Lose(t *rapid.T) {
	p.daemons[rapid.IntRange(0, len(p.daemons)-1).Draw(t, "lost")] = p.daemon()
}

// Pass lets time pass.
func (p *play) Pass(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.IntRange(20, 59).Draw(t, "seconds")) * time.Second)
}

// Remove lets all daemons remove what is over, and sweeps.
func (p *play) Remove(t *rapid.T) {
	ctx, cancel := p.context()
	defer cancel()
	for _, each := range p.daemons {
		if err := each.removal.RemoveDue(ctx); err != nil && !p.down {
			t.Fatalf("remove: %v", err)
		}
	}
	all := func(string) bool { return true }
	client := p.client()
	for _, sweep := range []*retention.Sweep{turn.Leftovers(client, all, p.clock, zap.NewNop()), piece.Leftovers(client, all, p.clock, zap.NewNop())} {
		for _, partition := range sweep.Partitions {
			if _, err := sweep.Partition(ctx, partition); err != nil && !p.down {
				t.Fatalf("sweep: %v", err)
			}
		}
	}
}

// Break takes a third of the partitions down, or has a part of the answers lost.
func (p *play) Break(t *rapid.T) {
	p.down = true
	lost := rapid.Bool().Draw(t, "lost")
	rest := rapid.IntRange(0, 2).Draw(t, "third")
	p.store.Misbehave(func(call memorystore.Call) memorystore.Fault {
		partition := call.Partition
		for _, put := range call.Commit.Puts {
			partition = put.Key.Partition
		}
		if len(partition) == 0 || int(partition[len(partition)-1])%3 != rest {
			return memorystore.None
		}
		if lost && call.Name == "commit" {
			return memorystore.Lost
		}
		return memorystore.Refused
	})
}

// Mend ends all faults; daemons try all partitions again.
func (p *play) Mend(*rapid.T) {
	p.down = false
	p.store.Misbehave(nil)
	for index := range p.daemons {
		p.daemons[index] = p.daemon()
	}
}

// Whatever the order of saves, branches, losses of daemons, removals and partitions that
// are down, a turn whose Save returned nil reads back byte for byte until its retention
// is over, or is in doubt while partitions are down; never wrong, never not found.
func TestEachKeptTurnReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		played := newPlay(t)
		t.Repeat(map[string]func(*rapid.T){
			"save": played.Save, "save again": played.Save, "save once more": played.Save,
			"load": played.Load, "lose": played.Lose, "pass": played.Pass, "remove": played.Remove,
			"pass and go on": func(t *rapid.T) { played.Pass(t); played.Save(t); played.Remove(t) },
			"pass, go on":    func(t *rapid.T) { played.Pass(t); played.Save(t) },
			"break":          played.Break, "mend": played.Mend,
		})
		played.Mend(t)
		for _, name := range played.names {
			known := played.turns[name]
			if !known.certain || played.now.After(known.saved.Add(playKeep)) {
				continue
			}
			loaded, err := played.daemon().records.Load(context.Background(), name, "")
			played.judge(name, loaded, err)
		}
	})
}

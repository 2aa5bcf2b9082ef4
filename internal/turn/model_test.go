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

// Settings of the model. Rows are so small that some turns need several commits.
const (
	modelRowBytes  = 600
	modelRetention = time.Minute
	modelTimeout   = 20 * time.Millisecond // of each call while faults are injected
)

// modelTurn is the expected content of a turn.
type modelTurn struct {
	history string
	savedAt time.Time // when Save was called
	isSaved bool      // whether Save returned nil
}

// modelDaemon is the state that a daemon has in memory.
type modelDaemon struct {
	records *turn.Records
	removal *retention.Queue
}

// storeModel is the state of the property test: daemons that share one store, and the expected
// content of all turns.
type storeModel struct {
	t            *rapid.T
	random       *rand.Rand
	store        *memorystore.Store
	now          time.Time
	daemons      []modelDaemon
	names        []string // identifiers of all turns, the oldest first
	turns        map[string]modelTurn
	commonInputs [][]byte // prefixes of first inputs
	hasFaults    bool     // whether some partitions fail
}

func newStoreModel(t *rapid.T) *storeModel {
	model := &storeModel{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		store: memorystore.New(), now: time.Unix(1000000, 0), turns: map[string]modelTurn{},
	}
	first := randomText(model.random, 2500)
	for _, rest := range []int{0, 1000, 4000} { // all start with the same bytes
		model.commonInputs = append(model.commonInputs, append(append([]byte(nil), first...), randomText(model.random, rest)...))
	}
	for range 3 {
		model.daemons = append(model.daemons, model.newDaemon())
	}
	return model
}

func (p *storeModel) clock() time.Time { return p.now }

func (p *storeModel) client() *state.Client {
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	return state.NewClient(state.ClientOptions{Store: p.store, Availability: availability, NotHedged: true})
}

// newDaemon returns a daemon with empty memory.
func (p *storeModel) newDaemon() modelDaemon {
	client := p.client()
	removal := retention.NewQueue(client, p.clock, zap.NewNop())
	return modelDaemon{removal: removal, records: turn.NewRecords(turn.Options{
		Store: client, RowBytes: modelRowBytes, CacheEntries: 5, CacheBytes: 20000, PieceBytes: 30000, CacheFor: time.Hour, Now: p.clock, Removal: removal,
	})}
}

// context returns the context of a call, which has a timeout while partitions fail.
func (p *storeModel) context() (context.Context, context.CancelFunc) {
	if p.hasFaults {
		return context.WithTimeout(context.Background(), modelTimeout)
	}
	return context.WithCancel(context.Background())
}

func (p *storeModel) randomDaemon() modelDaemon {
	return p.daemons[rapid.IntRange(0, len(p.daemons)-1).Draw(p.t, "daemon")]
}

// retainedTurn draws a saved turn whose retention is not over, usually the newest one. It returns
// false if there is none.
func (p *storeModel) retainedTurn() (string, bool) {
	var kept []string
	for _, name := range p.names {
		if p.turns[name].isSaved && !p.now.After(p.turns[name].savedAt.Add(modelRetention)) {
			kept = append(kept, name)
		}
	}
	if len(kept) == 0 {
		return "", false
	}
	if rapid.IntRange(0, 3).Draw(p.t, "newest") > 0 {
		return kept[len(kept)-1], true // so that conversations become long
	}
	return rapid.SampledFrom(kept).Draw(p.t, "turn"), true
}

// Save saves a turn that starts a conversation or continues a retained turn.
func (p *storeModel) Save(t *rapid.T) {
	ctx, cancel := p.context()
	defer cancel()
	records := p.randomDaemon().records
	added := turn.Addition{Input: randomText(p.random, rapid.IntRange(1, 3000).Draw(t, "input")), Output: randomText(p.random, rapid.IntRange(0, 6000).Draw(t, "output"))}
	previous, some := p.retainedTurn()
	history := ""
	if some && rapid.IntRange(0, 4).Draw(t, "begin") > 0 {
		loaded, err := records.Load(ctx, previous, "")
		if !p.checkLoaded(previous, loaded, err) {
			return
		}
		added.Previous, history = loaded, p.turns[previous].history
	} else {
		common := p.commonInputs[rapid.IntRange(0, len(p.commonInputs)-1).Draw(t, "common")]
		added.Input = append(append([]byte(nil), common...), added.Input...)
	}
	name := fmt.Sprint("t", len(p.names))
	err := records.Save(ctx, name, added, modelRetention)
	p.names = append(p.names, name)
	p.turns[name] = modelTurn{history: history + string(added.Input) + string(added.Output), savedAt: p.now, isSaved: err == nil}
	if err != nil && !p.hasFaults {
		t.Fatalf("save %s: %v", name, err)
	}
}

// checkLoaded reports whether a turn was loaded. It fails the test if the content is wrong, if the
// error is ErrNotFound, or if there is any error while all partitions answer.
func (p *storeModel) checkLoaded(name string, loaded *turn.Turn, err error) bool {
	switch {
	case err == nil && historyOf(loaded) == p.turns[name].history:
		return true
	case err == nil:
		p.t.Fatalf("turn %s: %d wrong bytes", name, loaded.Length())
	case errors.Is(err, turn.ErrNotFound):
		p.t.Fatalf("turn %s: not found", name)
	case !p.hasFaults:
		p.t.Fatalf("turn %s: %v while the whole store answers", name, err)
	}
	return false
}

// Load loads a turn at a daemon that was just started.
func (p *storeModel) Load(t *rapid.T) {
	name, some := p.retainedTurn()
	if !some {
		t.Skip("nothing is kept")
	}
	ctx, cancel := p.context()
	defer cancel()
	loaded, err := p.newDaemon().records.Load(ctx, name, "")
	p.checkLoaded(name, loaded, err)
}

// RestartDaemon replaces a daemon by one with empty memory. Rows that the former daemon was to
// remove are left to the sweep.
func (p *storeModel) RestartDaemon(t *rapid.T) {
	p.daemons[rapid.IntRange(0, len(p.daemons)-1).Draw(t, "lost")] = p.newDaemon()
}

// AdvanceClock advances the clock by 20 to 59 seconds.
func (p *storeModel) AdvanceClock(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.IntRange(20, 59).Draw(t, "seconds")) * time.Second)
}

// RemoveExpired lets all daemons remove their expired rows, and then sweeps all partitions.
func (p *storeModel) RemoveExpired(t *rapid.T) {
	ctx, cancel := p.context()
	defer cancel()
	for _, each := range p.daemons {
		if err := each.removal.RemoveDue(ctx); err != nil && !p.hasFaults {
			t.Fatalf("remove: %v", err)
		}
	}
	all := func(string) bool { return true }
	client := p.client()
	for _, sweep := range []*retention.Sweep{turn.Leftovers(client, all, p.clock, zap.NewNop()), piece.Leftovers(client, all, p.clock, zap.NewNop())} {
		for _, partition := range sweep.Partitions {
			if _, err := sweep.Partition(ctx, partition); err != nil && !p.hasFaults {
				t.Fatalf("sweep: %v", err)
			}
		}
	}
}

// InjectFaults makes a third of the partitions refuse all calls, or lose the answers of commits
// and refuse all other calls.
func (p *storeModel) InjectFaults(t *rapid.T) {
	p.hasFaults = true
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

// EndFaults ends all faults and replaces the daemons, since the old ones may avoid partitions that
// failed.
func (p *storeModel) EndFaults(*rapid.T) {
	p.hasFaults = false
	p.store.Misbehave(nil)
	for index := range p.daemons {
		p.daemons[index] = p.newDaemon()
	}
}

// TestEachKeptTurnReadsBack checks random sequences of saves, branches, lost daemons, removals and
// failing partitions. Until its retention is over, a turn whose Save returned nil must be loaded
// byte for byte. While partitions fail, Load may return an error instead, but not ErrNotFound.
func TestEachKeptTurnReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		played := newStoreModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"save": played.Save, "save again": played.Save, "save once more": played.Save,
			"load": played.Load, "lose": played.RestartDaemon, "pass": played.AdvanceClock, "remove": played.RemoveExpired,
			"pass and go on": func(t *rapid.T) { played.AdvanceClock(t); played.Save(t); played.RemoveExpired(t) },
			"pass, go on":    func(t *rapid.T) { played.AdvanceClock(t); played.Save(t) },
			"break":          played.InjectFaults, "mend": played.EndFaults,
		})
		played.EndFaults(t)
		for _, name := range played.names {
			known := played.turns[name]
			if !known.isSaved || played.now.After(known.savedAt.Add(modelRetention)) {
				continue
			}
			loaded, err := played.newDaemon().records.Load(context.Background(), name, "")
			played.checkLoaded(name, loaded, err)
		}
	})
}

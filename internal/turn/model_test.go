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

// modelDaemon is the in-memory state of a daemon.
type modelDaemon struct {
	repository *turn.Repository
	removal    *retention.Queue
}

// storeModel is the state of the property test. It consists of daemons that share one store, and
// of the expected content of all turns.
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

func (m *storeModel) clock() time.Time { return m.now }

func (m *storeModel) client() *state.Client {
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	return state.NewClient(state.ClientOptions{Store: m.store, Availability: availability, DisableHedging: true})
}

// newDaemon returns a daemon with empty memory.
func (m *storeModel) newDaemon() modelDaemon {
	client := m.client()
	removal := retention.NewQueue(client, m.clock, zap.NewNop())
	return modelDaemon{removal: removal, repository: turn.NewRepository(turn.Options{
		Store: client, MaxRowBytes: modelRowBytes, MaxCacheEntries: 5, MaxCacheBytes: 20000, MaxPieceCacheBytes: 30000, CacheIdleTimeout: time.Hour, Now: m.clock, RemovalQueue: removal,
	})}
}

// context returns the context for a call. It has a timeout while partitions fail.
func (m *storeModel) context() (context.Context, context.CancelFunc) {
	if m.hasFaults {
		return context.WithTimeout(context.Background(), modelTimeout)
	}
	return context.WithCancel(context.Background())
}

func (m *storeModel) randomDaemon() modelDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")]
}

// retainedTurn draws a saved turn whose retention has not ended, usually the newest one. It returns
// false if there is none.
func (m *storeModel) retainedTurn() (string, bool) {
	var retained []string
	for _, name := range m.names {
		if m.turns[name].isSaved && !m.now.After(m.turns[name].savedAt.Add(modelRetention)) {
			retained = append(retained, name)
		}
	}
	if len(retained) == 0 {
		return "", false
	}
	if rapid.IntRange(0, 3).Draw(m.t, "newest") > 0 {
		return retained[len(retained)-1], true // so that conversations become long
	}
	return rapid.SampledFrom(retained).Draw(m.t, "turn"), true
}

// Save saves a turn that starts a conversation or continues a retained turn.
func (m *storeModel) Save(t *rapid.T) {
	ctx, cancel := m.context()
	defer cancel()
	repository := m.randomDaemon().repository
	added := turn.Addition{Input: randomText(m.random, rapid.IntRange(1, 3000).Draw(t, "input")), Output: randomText(m.random, rapid.IntRange(0, 6000).Draw(t, "output"))}
	previous, found := m.retainedTurn()
	history := ""
	if found && rapid.IntRange(0, 4).Draw(t, "begin") > 0 {
		loaded, err := repository.Load(ctx, previous, "")
		if !m.checkLoaded(previous, loaded, err) {
			return
		}
		added.Previous, history = loaded, m.turns[previous].history
	} else {
		common := m.commonInputs[rapid.IntRange(0, len(m.commonInputs)-1).Draw(t, "common")]
		added.Input = append(append([]byte(nil), common...), added.Input...)
	}
	name := fmt.Sprint("t", len(m.names))
	err := repository.Save(ctx, name, added, modelRetention)
	m.names = append(m.names, name)
	m.turns[name] = modelTurn{history: history + string(added.Input) + string(added.Output), savedAt: m.now, isSaved: err == nil}
	if err != nil && !m.hasFaults {
		t.Fatalf("save %s: %v", name, err)
	}
}

// checkLoaded reports whether a turn was loaded. It fails the test if the content is wrong, if the
// error is ErrNotFound, or if there is any error while all partitions answer.
func (m *storeModel) checkLoaded(name string, loaded *turn.Turn, err error) bool {
	switch {
	case err == nil && historyOf(loaded) == m.turns[name].history:
		return true
	case err == nil:
		m.t.Fatalf("turn %s: %d wrong bytes", name, loaded.Size())
	case errors.Is(err, turn.ErrNotFound):
		m.t.Fatalf("turn %s: not found", name)
	case !m.hasFaults:
		m.t.Fatalf("turn %s: %v while the whole store answers", name, err)
	}
	return false
}

// Load loads a turn at a daemon that was just started.
func (m *storeModel) Load(t *rapid.T) {
	name, found := m.retainedTurn()
	if !found {
		t.Skip("no retained turn")
	}
	ctx, cancel := m.context()
	defer cancel()
	loaded, err := m.newDaemon().repository.Load(ctx, name, "")
	m.checkLoaded(name, loaded, err)
}

// RestartDaemon replaces a daemon by a new one with empty memory. The new daemon does not know which
// rows the old one had to remove, so they are left to the sweep.
func (m *storeModel) RestartDaemon(t *rapid.T) {
	m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "lost")] = m.newDaemon()
}

// AdvanceClock advances the clock by 20 to 59 seconds.
func (m *storeModel) AdvanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(20, 59).Draw(t, "seconds")) * time.Second)
}

// RemoveExpired lets all daemons remove their expired rows, and then sweeps all partitions.
func (m *storeModel) RemoveExpired(t *rapid.T) {
	ctx, cancel := m.context()
	defer cancel()
	for _, each := range m.daemons {
		if err := each.removal.RemoveDue(ctx); err != nil && !m.hasFaults {
			t.Fatalf("remove: %v", err)
		}
	}
	all := func(string) bool { return true }
	client := m.client()
	for _, sweep := range []*retention.Sweep{turn.NewSweep(client, all, m.clock, zap.NewNop()), piece.NewSweep(client, all, m.clock, zap.NewNop())} {
		for _, partition := range sweep.Partitions {
			if _, err := sweep.SweepPartition(ctx, partition); err != nil && !m.hasFaults {
				t.Fatalf("sweep: %v", err)
			}
		}
	}
}

// InjectFaults makes a third of the partitions fail. They refuse all calls, or they execute commits
// without an answer and refuse all other calls.
func (m *storeModel) InjectFaults(t *rapid.T) {
	m.hasFaults = true
	lost := rapid.Bool().Draw(t, "lost")
	rest := rapid.IntRange(0, 2).Draw(t, "third")
	m.store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
		partition := call.Partition
		for _, put := range call.Commit.Puts {
			partition = put.Key.Partition
		}
		if len(partition) == 0 || int(partition[len(partition)-1])%3 != rest {
			return memorystore.FaultNone
		}
		if lost && call.Name == "commit" {
			return memorystore.FaultLost
		}
		return memorystore.FaultRefused
	})
}

// EndFaults ends all faults. It also restarts the daemons, since they may still avoid partitions
// that failed before.
func (m *storeModel) EndFaults(*rapid.T) {
	m.hasFaults = false
	m.store.SetFaultFunc(nil)
	for index := range m.daemons {
		m.daemons[index] = m.newDaemon()
	}
}

// TestSavedTurnsCanBeLoaded checks random sequences of saves, branches, lost daemons, removals and
// failing partitions. Until its retention ends, a turn whose Save returned nil must be loaded
// byte for byte. While partitions fail, Load may return an error instead, but not ErrNotFound.
func TestSavedTurnsCanBeLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newStoreModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"save": model.Save, "save again": model.Save, "save once more": model.Save,
			"load": model.Load, "lose": model.RestartDaemon, "pass": model.AdvanceClock, "remove": model.RemoveExpired,
			"pass and continue": func(t *rapid.T) { model.AdvanceClock(t); model.Save(t); model.RemoveExpired(t) },
			"pass, continue":    func(t *rapid.T) { model.AdvanceClock(t); model.Save(t) },
			"break":             model.InjectFaults, "mend": model.EndFaults,
		})
		model.EndFaults(t)
		for _, name := range model.names {
			known := model.turns[name]
			if !known.isSaved || model.now.After(known.savedAt.Add(modelRetention)) {
				continue
			}
			loaded, err := model.newDaemon().repository.Load(context.Background(), name, "")
			model.checkLoaded(name, loaded, err)
		}
	})
}

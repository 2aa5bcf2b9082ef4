// Package members tells which daemons there are: each writes a row into the
// store when it starts, and follows the rows of the others. The list is a
// hint. It may name daemons that are gone and lack new ones; nothing that
// must be true rests on it.
package members

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// Table holds a row for each member, by its name.
const Table = "members"

// Member is a daemon as others call it.
type Member struct {
	Name    string `cbor:"n"`
	Zone    string `cbor:"z"`
	Region  string `cbor:"r"`
	Address string `cbor:"a"` // for calls between daemons
	// Incarnation differs from start to start of a daemon.
	Incarnation uint64 `cbor:"i"`
}

// List is the picture of all members. It is safe for concurrent use.
type List struct {
	self    Member
	now     func() time.Time
	log     *zap.Logger
	mutex   sync.Mutex // of changes
	current atomic.Pointer[[]Member]
	suspect sync.Map // address to the time until which it is avoided

	seasoning seasoning
}

// NewList makes a list that holds only this daemon.
func NewList(self Member, now func() time.Time, log *zap.Logger) *List {
	made := &List{self: self, now: now, log: log, seasoning: seasoning{started: now()}}
	made.current.Store(&[]Member{self})
	return made
}

// Self is this daemon.
func (l *List) Self() Member { return l.self }

// Register writes this daemon's row. firstStart tells that the whole system was
// never started before, as far as this process was told.
func (l *List) Register(ctx context.Context, store *state.Client, firstStart bool) error {
	value, err := cbor.Marshal(l.self)
	if err != nil {
		return eris.Wrap(err, "encode member")
	}
	put := state.Put{Key: state.Key{Table: Table, Name: l.self.Name}, Value: value}
	first := true
	err = store.Repeat(ctx, func() error {
		commit := state.Commit{Puts: []state.Put{put}}
		if first {
			commit.Conditions = []state.Condition{{Key: put.Key}}
		}
		_, err := store.Commit(ctx, commit)
		var conflict *state.ConflictError
		if !errors.As(err, &conflict) {
			return eris.Wrap(err, "register member")
		}
		if found, exists := conflict.Find(put.Key); exists && bytes.Equal(found.Value, value) {
			return nil // an earlier try without an answer was done
		}
		first = false
		_, err = store.Commit(ctx, state.Commit{Puts: []state.Put{put}})
		return eris.Wrap(err, "register member")
	})
	if err == nil {
		l.noteRegistered(first && firstStart)
	}
	return err
}

// Replace implements watch.Follower.
func (l *List) Replace(rows []state.Row, _ state.Version) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.current.Store(&[]Member{l.self})
	l.take(rows)
}

// Change implements watch.Follower.
func (l *List) Change(rows []state.Row) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.take(rows)
}

func (l *List) take(rows []state.Row) {
	next := slices.Clone(*l.current.Load())
	for _, row := range rows {
		if row.Key.Name == l.self.Name {
			continue
		}
		next = slices.DeleteFunc(next, func(member Member) bool { return member.Name == row.Key.Name })
		if row.Removed {
			continue
		}
		var member Member
		if err := cbor.Unmarshal(row.Value, &member); err != nil {
			l.log.Error("members: row cannot be read.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
			continue
		}
		next = append(next, member)
	}
	l.current.Store(&next)
	l.log.Info("members: list changed.", zap.Int("members", len(next)))
}

// All returns the members, this daemon among them.
func (l *List) All() []Member { return *l.current.Load() }

// Suspect avoids a member for so long.
func (l *List) Suspect(member Member, wait time.Duration) {
	l.suspect.Store(member.Address, l.now().Add(wait))
}

// Trust ends the suspicion of a member that answered.
func (l *List) Trust(member Member) { l.suspect.Delete(member.Address) }

func (l *List) suspected(member Member) bool {
	until, found := l.suspect.Load(member.Address)
	return found && l.now().Before(until.(time.Time))
}

// Homes orders the members of this daemon's region by their claim on a key,
// the same at every daemon of the region (rendezvous hashing). Suspected
// members are left out; this daemon itself never is.
func (l *List) Homes(key string) []Member { return l.homesIn(l.self.Region, key) }

func (l *List) homesIn(region, key string) []Member {
	homes := slices.DeleteFunc(slices.Clone(l.All()), func(member Member) bool {
		return member.Region != region || member.Name != l.self.Name && l.suspected(member)
	})
	slices.SortFunc(homes, func(a, b Member) int {
		claimOfA, claimOfB := claim(a, key), claim(b, key)
		switch {
		case claimOfA > claimOfB:
			return -1
		case claimOfA < claimOfB:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	return homes
}

// likelyPerRegion is how many members of a region are likely to hold a key:
// its home, and those that stood in while the home was away.
const likelyPerRegion = 3

// LikelyHomes returns the other members that are likely to hold a key.
func (l *List) LikelyHomes(key string) []Member {
	var likely []Member
	regions := map[string]bool{}
	for _, member := range l.All() {
		if regions[member.Region] {
			continue
		}
		regions[member.Region] = true
		homes := l.homesIn(member.Region, key)
		homes = homes[:min(len(homes), likelyPerRegion)]
		likely = append(likely, homes...)
	}
	return slices.DeleteFunc(likely, func(member Member) bool { return member.Name == l.self.Name })
}

// Sweeps tells whether this daemon has the first claim on a key among the
// members of all zones.
func (l *List) Sweeps(key string) bool {
	own := claim(l.self, key)
	for _, member := range l.All() {
		if claim(member, key) > own {
			return false
		}
	}
	return true
}

// Others returns other members that are not suspected, those of this zone
// first, in an order that differs from key to key.
func (l *List) Others(key string) []Member {
	others := slices.DeleteFunc(slices.Clone(l.All()), func(member Member) bool {
		return member.Name == l.self.Name || l.suspected(member)
	})
	slices.SortFunc(others, func(a, b Member) int {
		if (a.Zone == l.self.Zone) != (b.Zone == l.self.Zone) {
			if a.Zone == l.self.Zone {
				return -1
			}
			return 1
		}
		if claim(a, key) > claim(b, key) {
			return -1
		}
		return 1
	})
	return others
}

func claim(member Member, key string) uint64 {
	return xxhash.Sum64String(key + "\x00" + member.Name)
}

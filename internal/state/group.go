package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// groups put commits together that wait for the store's rate at the same time: the ends
// of turns, which carry no condition. Where a slot is free each is committed alone. They
// save calls when calls are short: in a pulse of three times what the store takes a tenth
// more of what is offered is served.
//
// Guarantee: each commit gets the verdict of the call that it was part of. One whose
// group had no verdict is unknown. A group that the store refused for what one of its
// commits may be to blame for is committed one by one.
type groups struct {
	slots slots
	send  func(ctx context.Context, commit Commit, together int) (Version, error)
	now   func() time.Time

	mutex    sync.Mutex
	waiting  []*grouped // those that no call took along yet
	offUntil time.Time
}

// slots are the store's rate.
type slots struct {
	free  func() bool // takes one that nobody waits for
	enter func(ctx context.Context, class Class) error
}

// grouped is a commit that waits.
type grouped struct {
	commit  Commit
	verdict chan groupVerdict // buffered
}

// groupVerdict is how a group ended.
type groupVerdict struct {
	version Version
	err     error
	split   bool // each is to be committed alone
}

const (
	// mostGroupRows and mostGroupBytes keep a group below what one commit of the store may
	// hold: 100 rows, and 1 MB of text in which a value takes four thirds of its bytes.
	mostGroupRows  = 100
	mostGroupBytes = 600 << 10
	// groupsOff is how long commits go alone after a group without a verdict: a partition
	// that does not answer must not hold up those of others.
	groupsOff = time.Second
	// groupPatience bounds a group's call, whose commits have times of their own: three
	// tries of a second.
	groupPatience = 3 * time.Second
)

// commit waits for a slot and sends the commit, together with those that wait by then; or
// it is sent along with another.
func (g *groups) commit(ctx context.Context, commit Commit) (Version, error) {
	if g.slots.free() {
		return g.send(ctx, commit, 1)
	}
	if !g.mayJoin(commit) {
		return g.alone(ctx, commit)
	}
	own := g.join(commit)
	entering, stop := context.WithCancel(ctx)
	defer stop()
	entered := make(chan error, 1)
	go func() { entered <- g.slots.enter(entering, commit.Class) }()
	select {
	case verdict := <-own.verdict:
		return g.take(ctx, commit, verdict)
	case err := <-entered:
		switch {
		case err != nil && g.leave(own):
			return 0, err
		case err == nil:
			g.lead(own)
		}
	}
	select {
	case verdict := <-own.verdict:
		return g.take(ctx, commit, verdict)
	case <-ctx.Done():
		return 0, eris.Wrapf(ErrUnknown, "commit in a group: %v", ctx.Err())
	}
}

func (g *groups) mayJoin(commit Commit) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return commit.Class == ClassTurn && len(commit.Conditions) == 0 && !g.now().Before(g.offUntil)
}

func (g *groups) alone(ctx context.Context, commit Commit) (Version, error) {
	if err := g.slots.enter(ctx, commit.Class); err != nil {
		return 0, err
	}
	return g.send(ctx, commit, 1)
}

// take returns the group's verdict, or commits alone what the group could not.
func (g *groups) take(ctx context.Context, commit Commit, verdict groupVerdict) (Version, error) {
	if verdict.split {
		return g.alone(ctx, commit)
	}
	return verdict.version, verdict.err
}

func (g *groups) join(commit Commit) *grouped {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	made := &grouped{commit: commit, verdict: make(chan groupVerdict, 1)}
	g.waiting = append(g.waiting, made)
	return made
}

// leave takes a commit out; false: a call has taken it along.
func (g *groups) leave(own *grouped) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for index, each := range g.waiting {
		if each == own {
			g.waiting = append(g.waiting[:index], g.waiting[index+1:]...)
			return true
		}
	}
	return false
}

// lead sends the commit of one that has a slot with those that fit, unless another call
// has taken it along. The call goes on when the caller of one of them leaves.
func (g *groups) lead(own *grouped) {
	if !g.leave(own) {
		return
	}
	together, whole := g.gather(own)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), groupPatience)
		defer cancel()
		version, err := g.send(ctx, whole, len(together))
		verdict := groupVerdict{version: version, err: err, split: len(together) > 1 && mayBeOneToBlame(err)}
		if len(together) > 1 && errors.Is(err, ErrUnknown) {
			g.pause()
		}
		for _, each := range together {
			each.verdict <- verdict
		}
	}()
}

// mayBeOneToBlame tells whether nothing was done, for a reason that some of a group's
// commits may not have: a partition that does not answer, or a group that is too large.
func mayBeOneToBlame(err error) bool {
	return err != nil && !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrFull) && !errors.Is(err, ErrThrottled)
}

func (g *groups) pause() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.offUntil = g.now().Add(groupsOff)
}

// gather takes those out of the waiting ones that fit into one commit with the first.
func (g *groups) gather(first *grouped) ([]*grouped, Commit) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	together, whole := []*grouped{first}, Commit{Class: ClassTurn}
	keys := map[Key]bool{}
	whole.add(first.commit, keys)
	var left []*grouped
	for _, each := range g.waiting {
		if !whole.fits(each.commit, keys) {
			left = append(left, each)
			continue
		}
		whole.add(each.commit, keys)
		together = append(together, each)
	}
	g.waiting = left
	return together, whole
}

// fits tells whether another commit has room beside this one and writes no row of it.
func (c Commit) fits(other Commit, keys map[Key]bool) bool {
	for _, key := range other.written() {
		if keys[key] {
			return false
		}
	}
	return len(keys)+len(other.written()) <= mostGroupRows && c.bytes()+other.bytes() <= mostGroupBytes
}

// add takes the rows of another commit in, and notes their keys.
func (c *Commit) add(other Commit, keys map[Key]bool) {
	c.Puts = append(c.Puts, other.Puts...)
	c.Removals = append(c.Removals, other.Removals...)
	for _, key := range other.written() {
		keys[key] = true
	}
}

// written are the keys that the commit changes.
func (c Commit) written() []Key {
	keys := make([]Key, 0, len(c.Puts)+len(c.Removals))
	for _, put := range c.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, c.Removals...)
}

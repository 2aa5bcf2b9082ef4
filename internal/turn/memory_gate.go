package turn

import (
	"context"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// ErrNoMemory means that there was no memory for the copies made while a conversation is loaded or
// stored whole.
var ErrNoMemory = errors.New("no memory for the conversation")

const (
	// copiesWhileLoading is how many copies of a conversation are in memory while it is loaded: the
	// answers of the store, as base64 (4/3 of the size), decoded rows, and the bytes of the turns,
	// rounded up. About as many are made while it is stored whole.
	copiesWhileLoading = 4
	// firstExpectedBytes is the expected size of a conversation before one was loaded.
	firstExpectedBytes = 1 << 20
	// minExpectedBytes is the smallest size that a conversation is expected to have.
	minExpectedBytes = 16 << 10
)

// memoryGate bounds the bytes of copies that all loads of conversations, and all saves that store one
// whole, hold at the same time. Those that find no room wait in their order of arrival. The size of a
// conversation is not known before it is loaded; it is expected to be as large as recent ones. A
// conversation with more copies than fit the gate passes it alone. A nil memoryGate bounds nothing.
type memoryGate struct {
	capacity int64 // bytes
	room     *semaphore.Weighted

	mutex    sync.Mutex
	expected int64 // bytes of a conversation
}

// newMemoryGate returns a gate for copies of up to capacity bytes, or nil if capacity is 0.
func newMemoryGate(capacity int64) *memoryGate {
	if capacity <= 0 {
		return nil
	}
	return &memoryGate{capacity: capacity, room: semaphore.NewWeighted(capacity), expected: firstExpectedBytes}
}

// enterExpected waits until a conversation of the expected size may be loaded. The error is
// ErrNoMemory if the context ends before.
func (g *memoryGate) enterExpected(ctx context.Context) (*passage, error) {
	if g == nil {
		return nil, nil
	}
	g.mutex.Lock()
	expected := g.expected
	g.mutex.Unlock()
	return g.enter(ctx, expected)
}

// enter waits until there is room for the copies of `size` bytes.
func (g *memoryGate) enter(ctx context.Context, size int64) (*passage, error) {
	if g == nil {
		return nil, nil
	}
	weight := min(copiesWhileLoading*size, g.capacity)
	if err := g.room.Acquire(ctx, weight); err != nil {
		return nil, eris.Wrapf(ErrNoMemory, "wait for other conversations: %v", err)
	}
	return &passage{gate: g, weight: weight}, nil
}

// passage is the room in a memoryGate of one load or save. It is safe for concurrent use. A nil
// passage grows without bound.
type passage struct {
	gate *memoryGate

	mutex  sync.Mutex
	weight int64 // bytes taken of the gate's room
	size   int64 // bytes of the conversation so far
}

// grow adds bytes that have been loaded. The error is ErrNoMemory if the conversation is larger than
// expected and others hold the room for it.
func (p *passage) grow(bytes int) error {
	if p == nil {
		return nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.size += int64(bytes)
	missing := min(copiesWhileLoading*p.size, p.gate.capacity) - p.weight
	if missing <= 0 {
		return nil
	}
	if !p.gate.room.TryAcquire(missing) {
		return eris.Wrapf(ErrNoMemory, "the conversation is larger than expected: %d bytes so far", p.size)
	}
	p.weight += missing
	return nil
}

// leave gives the room back. It must be called once.
func (p *passage) leave() {
	if p == nil {
		return
	}
	p.gate.room.Release(p.weight)
	if p.size > 0 {
		p.gate.note(p.size)
	}
}

// note updates the expected size after a conversation of `size` bytes: it rises at once, and falls by
// a quarter with each smaller one.
func (g *memoryGate) note(size int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.expected = max(size, g.expected-g.expected/4, minExpectedBytes)
}

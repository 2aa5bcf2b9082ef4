package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// Fleet is the picture of all instances. Readers take it without a lock.
type Fleet struct {
	// Sharing is what programs share of their prompts.
	Sharing *Sharing
	now     func() time.Time
	mutex   sync.Mutex
	known   map[string]*Instance
	current atomic.Pointer[map[string][]*Instance] // by service
}

// NewFleet makes an empty picture.
func NewFleet(now func() time.Time) *Fleet {
	fleet := &Fleet{Sharing: NewSharing(), now: now, known: map[string]*Instance{}}
	fleet.current.Store(&map[string][]*Instance{})
	return fleet
}

// Event says what a declaration changed.
type Event string

// The events of the picture.
const (
	EventNone     Event = ""
	EventJoined   Event = "joined"
	EventDraining Event = "draining"
	EventGone     Event = "gone"
	EventMoved    Event = "address taken by another"
)

// Apply takes a declaration in, unless it is older than what is known. An instance that
// started anew under the same ID is a new one: nothing of before holds for it.
func (f *Fleet) Apply(declared Declaration) Event {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	instance, known := f.known[declared.ID]
	if known && declared.Version < instance.Version {
		return EventNone
	}
	switch {
	case declared.Gone && known:
		return f.leave(instance, declared.Version, EventGone)
	case declared.Gone:
		return EventNone
	case known && declared.Born != instance.Born:
		instance.pool.closeAll()
		delete(f.known, declared.ID)
	case known && declared.Draining:
		return f.leave(instance, declared.Version, EventDraining)
	case known && instance.Address == declared.Address && instance.Service == declared.Service:
		instance.Version = declared.Version
		instance.leftAt.Store(0)
		return EventNone
	}
	f.known[declared.ID] = f.join(declared)
	f.publish()
	if declared.Draining {
		f.known[declared.ID].leftAt.Store(f.now().UnixNano())
		return EventDraining
	}
	return EventJoined
}

// join also drops former holders of the address: addresses are used again.
func (f *Fleet) join(declared Declaration) *Instance {
	for id, other := range f.known {
		if _, leaving := other.Leaving(); leaving && other.Address == declared.Address {
			other.pool.closeAll()
			delete(f.known, id)
		}
	}
	return &Instance{
		Declaration: declared, digest: digestOf(declared), pool: newPool(declared.Address), prefixes: newPrefixes(),
	}
}

func (f *Fleet) leave(instance *Instance, version uint64, event Event) Event {
	instance.Version = version
	if !instance.leftAt.CompareAndSwap(0, f.now().UnixNano()) {
		return EventNone
	}
	return event
}

// Replace takes in a whole reading: instances that it does not name are gone.
func (f *Fleet) Replace(declared []Declaration, version uint64) {
	named := make(map[string]bool, len(declared))
	for _, declaration := range declared {
		named[declaration.ID] = true
		f.Apply(declaration)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, instance := range f.known {
		if !named[id] && instance.Version <= version {
			f.leave(instance, version, EventGone)
		}
	}
}

// Displace drops an instance whose address answered for another one.
func (f *Fleet) Displace(instance *Instance) {
	instance.leftAt.CompareAndSwap(0, f.now().UnixNano())
	instance.pool.closeAll()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.known, instance.ID)
	f.publish()
}

// Forget drops instances that left longer ago than this.
func (f *Fleet) Forget(after time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := false
	for id, instance := range f.known {
		since, leaving := instance.Leaving()
		if leaving && f.now().Sub(since) > after {
			instance.pool.closeAll()
			delete(f.known, id)
			changed = true
		}
	}
	if changed {
		f.publish()
	}
}

func (f *Fleet) publish() {
	next := make(map[string][]*Instance)
	for _, instance := range f.known {
		next[instance.Service] = append(next[instance.Service], instance)
	}
	f.current.Store(&next)
}

// Of returns the instances of a service, also those that leave.
func (f *Fleet) Of(service string) []*Instance { return (*f.current.Load())[service] }

// Size counts the known instances.
func (f *Fleet) Size() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.known)
}

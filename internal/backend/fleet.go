package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// Fleet holds the known instances of all services. It is safe for concurrent use; reading the
// instances of a service takes no lock.
type Fleet struct {
	// SharedParts tracks the prompt parts that programs have in common.
	SharedParts *SharedPartTracker
	now         func() time.Time
	mutex       sync.Mutex
	byID        map[string]*Instance
	byService   atomic.Pointer[map[string][]*Instance] // immutable; replaced on change
}

// NewFleet returns an empty fleet that uses the given clock.
func NewFleet(now func() time.Time) *Fleet {
	fleet := &Fleet{SharedParts: NewSharedPartTracker(), now: now, byID: map[string]*Instance{}}
	fleet.byService.Store(&map[string][]*Instance{})
	return fleet
}

// Event is the change that a declaration caused.
type Event string

// Values of Event.
const (
	EventNone     Event = ""
	EventJoined   Event = "joined"
	EventDraining Event = "draining"
	EventGone     Event = "gone"
	EventMoved    Event = "address taken by another"
)

// Apply updates the fleet with a declaration and returns what changed. It ignores declarations
// older than the known version of the instance. If an instance restarted under the same ID, or
// its address, service or software version changed, a new Instance replaces it and inherits no state.
func (f *Fleet) Apply(declaration Declaration) Event {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	instance, known := f.byID[declaration.ID]
	if known && declaration.Version < instance.Version {
		return EventNone
	}
	switch {
	case declaration.Gone && known:
		return f.markLeaving(instance, declaration.Version, EventGone)
	case declaration.Gone:
		return EventNone
	case known && (declaration.Born != instance.Born || declaration.SoftwareVersion != instance.SoftwareVersion):
		instance.wasReplaced.Store(instance.leftAt.Load() == 0)
		instance.pool.closeAll()
		delete(f.byID, declaration.ID)
	case known && declaration.Draining:
		instance.hasDrained.Store(true)
		return f.markLeaving(instance, declaration.Version, EventDraining)
	case known && instance.Address == declaration.Address && instance.Service == declaration.Service:
		instance.Version = declaration.Version
		instance.leftAt.Store(0)
		instance.hasDrained.Store(false)
		return EventNone
	}
	f.byID[declaration.ID] = f.createAtAddress(declaration)
	f.publish()
	if declaration.Draining {
		f.byID[declaration.ID].leftAt.Store(f.now().UnixNano())
		f.byID[declaration.ID].hasDrained.Store(true)
		return EventDraining
	}
	return EventJoined
}

// createAtAddress returns a new instance for the declaration. It first removes leaving instances
// with the same address from the fleet, since addresses are reused. The caller must hold the
// mutex.
func (f *Fleet) createAtAddress(declaration Declaration) *Instance {
	for id, other := range f.byID {
		if _, leaving := other.LeavingSince(); leaving && other.Address == declaration.Address {
			other.pool.closeAll()
			delete(f.byID, id)
		}
	}
	return &Instance{
		Declaration: declaration, loadKey: loadKeyOf(declaration), pool: newPool(declaration.Address), prefixes: newPrefixCache(),
	}
}

func (f *Fleet) markLeaving(instance *Instance, version uint64, event Event) Event {
	instance.Version = version
	if !instance.leftAt.CompareAndSwap(0, f.now().UnixNano()) {
		return EventNone
	}
	return event
}

// Replace applies a complete list of declarations read at the given version. Instances missing
// from the list are marked as gone, unless their version is newer.
func (f *Fleet) Replace(declarations []Declaration, version uint64) {
	listed := make(map[string]bool, len(declarations))
	for _, declaration := range declarations {
		listed[declaration.ID] = true
		f.Apply(declaration)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, instance := range f.byID {
		if !listed[id] && instance.Version <= version {
			f.markLeaving(instance, version, EventGone)
		}
	}
}

// Remove removes an instance after another instance answered at its address.
func (f *Fleet) Remove(instance *Instance) {
	if instance.leftAt.CompareAndSwap(0, f.now().UnixNano()) {
		instance.wasReplaced.Store(true)
	}
	instance.pool.closeAll()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.byID[instance.ID] != instance {
		return // a later start of the instance is listed
	}
	delete(f.byID, instance.ID)
	f.publish()
}

// Prune removes instances that have been draining or gone for longer than the retention.
func (f *Fleet) Prune(retention time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := false
	for id, instance := range f.byID {
		since, leaving := instance.LeavingSince()
		if leaving && f.now().Sub(since) > retention {
			instance.pool.closeAll()
			delete(f.byID, id)
			changed = true
		}
	}
	if changed {
		f.publish()
	}
}

func (f *Fleet) publish() {
	next := make(map[string][]*Instance)
	for _, instance := range f.byID {
		next[instance.Service] = append(next[instance.Service], instance)
	}
	f.byService.Store(&next)
}

// Instances returns the instances of a service, including those that are leaving. The caller
// must not change the slice.
func (f *Fleet) Instances(service string) []*Instance { return (*f.byService.Load())[service] }

// IsUsable reports whether the instance is listed and not leaving. It is not if another instance has
// replaced it under its ID.
func (f *Fleet) IsUsable(instance *Instance) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, leaving := instance.LeavingSince()
	return f.byID[instance.ID] == instance && !leaving
}

// Size returns the number of known instances.
func (f *Fleet) Size() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.byID)
}

package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
	"github.com/thymeloft/thymeloft/internal/state"
)

// engines are the running instances of all services. It is safe for concurrent use.
type engines struct {
	evidence   *evidence
	store      *store
	versions   *versionDrawer
	stop       chan struct{}
	onDeadly   func(*instance, wayToEnd) // called when an instance gets a deadly request; must not block
	heartbeats sync.WaitGroup

	mutex      sync.Mutex
	running    []*instance
	startCount int
}

// instance is an instance of a service: an engine of the model or a replica of an
// application service.
type instance struct {
	id      string
	service string
	version string // of the software
	link    *faultproxy.Link
	server  *http.Server
	owner   *engines

	isEnding atomic.Bool // it is being replaced
	isFull   atomic.Bool // rejects most requests, and sends some of the rejections twice
	mutex    sync.Mutex
	draining bool
	stopped  bool // no longer writes its entry
	sequence int
	behavior instanceBehavior
}

// instanceBehavior is the fault that an instance shows. Shares are fractions of its
// requests. The zero value is no fault.
type instanceBehavior struct {
	rejectShare, dropShare, cutShare, extraShare float64
	delay                                        time.Duration
}

// heartbeatInterval is the time between two writes of an instance's entry.
const heartbeatInterval = 600 * time.Millisecond

// newEngines starts the instances of all services. They write their entries to the
// store.
func newEngines(observed *evidence, entries *store, versions *versionDrawer) (*engines, error) {
	e := &engines{evidence: observed, store: entries, versions: versions, stop: make(chan struct{})}
	for _, service := range []string{serviceModel, serviceModel, serviceModel, serviceModel, serviceApp, serviceApp, serviceOther, serviceOther} {
		if err := e.add(service, "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	e.heartbeats.Go(e.runHeartbeats)
	return e, nil
}

// add starts an instance of the service at the address, which a stopped instance may
// have used before.
func (e *engines) add(service, address string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for an engine")
	}
	link, err := faultproxy.Listen(address, listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.startCount++
	added := &instance{id: fmt.Sprintf("i-%s-%d", service, e.startCount), service: service, version: softwareVersions[0], link: link, owner: e}
	if service == serviceModel {
		added.version = e.versions.next()
	}
	added.server = &http.Server{Handler: added}
	go func() { _ = added.server.Serve(listener) }()
	e.running = append(e.running, added)
	e.evidence.recordStart(added)
	added.writeEntry()
	return nil
}

func (e *engines) close() {
	close(e.stop)
	e.heartbeats.Wait()
	for _, each := range e.instances() {
		each.close()
	}
}

func (e *engines) instances() []*instance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]*instance{}, e.running...)
}

// activeInstances returns the instances of the service that are not draining and
// still write their entries.
func (e *engines) activeInstances(service string) []*instance {
	var found []*instance
	for _, each := range e.instances() {
		each.mutex.Lock()
		if each.service == service && !each.draining && !each.stopped {
			found = append(found, each)
		}
		each.mutex.Unlock()
	}
	return found
}

func (e *engines) runHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			for _, each := range e.instances() {
				each.writeEntry()
			}
		}
	}
}

// writeEntry writes the entry of the instance to the store, unless the instance has
// stopped.
func (i *instance) writeEntry() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return
	}
	i.sequence++
	condition := "ready"
	if i.draining {
		condition = "draining"
	}
	value := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":%q,"slots":8,"state":%q,"cold_remaining_ms":0,"sequence":%d}`,
		i.service, i.link.Address(), i.version, condition, i.sequence)
	i.owner.store.writeAsOperator(state.Put{Key: state.Key{Table: "servers", Name: i.id}, Value: value})
}

// drain writes an entry that states that the instance is draining.
func (i *instance) drain() {
	i.owner.evidence.recordEnd(i.id)
	i.mutex.Lock()
	i.draining = true
	i.mutex.Unlock()
	i.writeEntry()
	i.owner.evidence.recordDeparture(i.id)
}

// removeEntry removes the entry of the instance from the store.
func (i *instance) removeEntry() {
	i.owner.evidence.recordEnd(i.id)
	i.mutex.Lock()
	i.stopped = true
	i.mutex.Unlock()
	i.owner.store.removeAsOperator(state.Key{Table: "servers", Name: i.id})
	i.owner.evidence.recordRemoval(i.id)
}

// fallSilent makes the instance behave like one whose machine has lost its power. It must be closed later.
func (i *instance) fallSilent() {
	i.owner.evidence.recordSilence(i.id)
	i.mutex.Lock()
	i.stopped = true
	i.mutex.Unlock()
	if err := i.link.FallSilent(); err != nil {
		i.owner.evidence.addFinding("engines: %v", err)
	}
}

// close stops the instance at once and resets its connections.
func (i *instance) close() {
	i.owner.evidence.recordEnd(i.id)
	i.mutex.Lock()
	i.stopped = true
	i.mutex.Unlock()
	_ = i.link.Close()
	_ = i.server.Close()
	i.owner.mutex.Lock()
	defer i.owner.mutex.Unlock()
	for index, each := range i.owner.running {
		if each == i {
			i.owner.running = append(i.owner.running[:index], i.owner.running[index+1:]...)
			return
		}
	}
}

func (i *instance) setBehavior(next instanceBehavior) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.behavior = next
}

func (i *instance) currentBehavior() instanceBehavior {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.behavior
}

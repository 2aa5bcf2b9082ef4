package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
	"github.com/thymeloft/thymeloft/internal/state"
)

// engines are the instances of all services.
type engines struct {
	evidence *evidence
	store    *store
	stop     chan struct{}
	beats    sync.WaitGroup

	mutex   sync.Mutex
	all     []*instance
	started int
}

// instance is one start of an engine or of a service's copy.
type instance struct {
	id      string
	service string
	link    *faultproxy.Link
	server  *http.Server
	owner   *engines

	mutex    sync.Mutex
	draining bool
	silent   bool // writes no heartbeats any more
	sequence int
	conduct  conduct
}

// conduct is how an instance treats its requests; shares are of one.
type conduct struct {
	reject, drop, cut, extra float64
	delay                    time.Duration
}

const heartbeat = 600 * time.Millisecond

// newEngines starts the instances of all services.
func newEngines(noted *evidence, writes *store) (*engines, error) {
	made := &engines{evidence: noted, store: writes, stop: make(chan struct{})}
	for _, service := range []string{serviceModel, serviceModel, serviceModel, serviceApp, serviceApp, serviceOther, serviceOther} {
		if err := made.add(service, "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	made.beats.Go(made.beat)
	return made, nil
}

// add starts an instance; its address may have been another one's.
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
	e.started++
	made := &instance{id: fmt.Sprintf("i-%s-%d", service, e.started), service: service, link: link, owner: e}
	made.server = &http.Server{Handler: made}
	go func() { _ = made.server.Serve(listener) }()
	e.all = append(e.all, made)
	made.declare()
	return nil
}

func (e *engines) close() {
	close(e.stop)
	e.beats.Wait()
	for _, each := range e.current() {
		each.end()
	}
}

func (e *engines) current() []*instance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]*instance{}, e.all...)
}

// of returns the instances of a service that neither leave nor are silent.
func (e *engines) of(service string) []*instance {
	var found []*instance
	for _, each := range e.current() {
		each.mutex.Lock()
		if each.service == service && !each.draining && !each.silent {
			found = append(found, each)
		}
		each.mutex.Unlock()
	}
	return found
}

func (e *engines) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			for _, each := range e.current() {
				each.declare()
			}
		}
	}
}

// declare writes the instance's entry.
func (i *instance) declare() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.silent {
		return
	}
	i.sequence++
	condition := "ready"
	if i.draining {
		condition = "draining"
	}
	value := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":%d}`,
		i.service, i.link.Address(), condition, i.sequence)
	i.owner.store.operatorWrites(state.Put{Key: state.Key{Table: "servers", Name: i.id}, Value: value})
}

// drain announces that the instance leaves.
func (i *instance) drain() {
	i.mutex.Lock()
	i.draining = true
	i.mutex.Unlock()
	i.declare()
	i.owner.evidence.left(i.id)
}

// forget takes the instance's entry away.
func (i *instance) forget() {
	i.mutex.Lock()
	i.silent = true
	i.mutex.Unlock()
	i.owner.store.operatorRemoves(state.Key{Table: "servers", Name: i.id})
}

// end stops the instance at once; its connections are reset.
func (i *instance) end() {
	i.mutex.Lock()
	i.silent = true
	i.mutex.Unlock()
	_ = i.link.Close()
	_ = i.server.Close()
	i.owner.mutex.Lock()
	defer i.owner.mutex.Unlock()
	for index, each := range i.owner.all {
		if each == i {
			i.owner.all = append(i.owner.all[:index], i.owner.all[index+1:]...)
			return
		}
	}
}

func (i *instance) behave(next conduct) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.conduct = next
}

func (i *instance) currently() conduct {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.conduct
}

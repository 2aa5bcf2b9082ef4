package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/platform"
)

// fakeEngine is an HTTP server with the administration API of an engine.
type fakeEngine struct {
	*httptest.Server
	mutex           sync.Mutex
	state           enginev1.EngineState
	orders          []enginev1.Order
	held            map[string]bool
	releaseFailures int // number of release requests that will still fail
	claims          int
	refusedOrders   int // orders refused because of a lower fencing token
}

func newFakeEngine(name, model, version string) *fakeEngine {
	fake := &fakeEngine{held: map[string]bool{}, state: enginev1.EngineState{
		Name: name, Model: model, Version: version, Role: RoleServe, MaxRunning: 8, PrefillPerSec: 1000, DecodePerSec: 30, CacheTokens: 1000, Incarnation: 1,
	}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+enginev1.PathState, fake.locked(fake.getState))
	mux.HandleFunc("POST "+enginev1.PathOrders, fake.locked(fake.postOrder))
	mux.HandleFunc("GET "+enginev1.PathHeld, fake.locked(fake.getHeld))
	mux.HandleFunc("POST "+enginev1.PathRelease, fake.locked(fake.postRelease))
	fake.Server = httptest.NewServer(mux)
	DeferCleanup(fake.Close)
	return fake
}

func (f *fakeEngine) locked(handle http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		handle(writer, request)
	}
}

// edit runs change while it holds the lock, so that change may read and set the engine's
// fields.
func (f *fakeEngine) edit(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *fakeEngine) getState(writer http.ResponseWriter, _ *http.Request) {
	f.state.AsOfUnixMS = time.Now().UnixMilli()
	_ = json.NewEncoder(writer).Encode(f.state)
}

func (f *fakeEngine) postOrder(writer http.ResponseWriter, request *http.Request) {
	var order enginev1.Order
	_ = json.NewDecoder(request.Body).Decode(&order)
	if order.Fence < f.state.Fence {
		f.refusedOrders++
		writer.WriteHeader(http.StatusConflict)
	} else {
		f.state.Fence = order.Fence
		f.apply(order)
	}
	f.getState(writer, request)
}

func (f *fakeEngine) apply(order enginev1.Order) {
	switch order.Kind {
	case OrderClaim:
		f.claims++
		return
	case OrderLoad:
		f.state.Model, f.state.Version, f.state.Adapters = order.Model, order.Version, order.Adapters
	case OrderRole:
		f.state.Role = order.Role
	}
	f.orders = append(f.orders, order)
}

func (f *fakeEngine) getHeld(writer http.ResponseWriter, _ *http.Request) {
	var list enginev1.HeldList
	for program := range f.held {
		list.Held = append(list.Held, enginev1.Held{Program: program})
	}
	_ = json.NewEncoder(writer).Encode(list)
}

func (f *fakeEngine) postRelease(writer http.ResponseWriter, request *http.Request) {
	if f.releaseFailures > 0 {
		f.releaseFailures--
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	var release enginev1.ReleaseRequest
	_ = json.NewDecoder(request.Body).Decode(&release)
	for _, program := range release.Programs {
		delete(f.held, program)
	}
}

func (f *fakeEngine) heldCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.held)
}

// fakeSource is a configuration source whose document tests replace with set.
type fakeSource struct {
	mutex   sync.Mutex
	current *configuration.Snapshot
}

func (f *fakeSource) Current() *configuration.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current
}

func (f *fakeSource) set(document configuration.Document) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	revision := uint64(1)
	if f.current != nil {
		revision = f.current.Revision + 1
	}
	f.current = &configuration.Snapshot{Revision: revision, Document: document}
}

func (f *fakeSource) IsConfirmed() bool          { return true }
func (f *fakeSource) Subscribe() <-chan struct{} { return nil }

// memoryNetwork connects the daemons of a test by direct method calls. All of them see the same
// membership view.
type memoryNetwork struct {
	mutex     sync.Mutex
	receivers map[string]*DigestReceiver
	view      *members.View
	isolated  string // address of the daemon that cannot exchange calls with the others; empty: none
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{receivers: map[string]*DigestReceiver{}, view: &members.View{}}
}

// fakeDaemon is one daemon on the network, as peer.Client, peer.Registrar and
// members.Directory.
type fakeDaemon struct {
	*memoryNetwork
	self identity.Process
}

var errUnreachable = errors.New("peer is unreachable")

func (d fakeDaemon) Call(_ context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	d.mutex.Lock()
	receiver := d.receivers[address]
	isUnreachable := d.isolated != "" && (d.isolated == address) != (d.isolated == d.self.Address)
	d.mutex.Unlock()
	if receiver == nil || isUnreachable {
		return errUnreachable
	}
	if method == methodFetch {
		return receiver.Fetch(arguments.(*FetchArguments), reply.(*DigestBatch))
	}
	return receiver.Digests(arguments.(*DigestBatch), reply.(*DigestReply))
}

func (d fakeDaemon) Register(_ string, service any) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.receivers[d.self.Address] = service.(*DigestReceiver)
	return nil
}

func (d fakeDaemon) View() *members.View {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view
}

func (d fakeDaemon) Self() identity.Process     { return d.self }
func (d fakeDaemon) Subscribe() <-chan struct{} { return nil }

// isolate blocks calls between the daemon at the address and all others, and ends any earlier
// isolation. An empty address isolates no daemon.
func (n *memoryNetwork) isolate(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated = address
}

// setMembers replaces the membership view by one in which exactly these processes are alive.
func (n *memoryNetwork) setMembers(processes ...identity.Process) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	next := &members.View{Version: n.view.Version + 1}
	for _, process := range processes {
		next.Members = append(next.Members, members.Member{Process: process, State: members.StateAlive})
	}
	n.view = next
}

type fakeMachines struct {
	mutex   sync.Mutex
	leaving []platform.Machine
}

func (f *fakeMachines) List(context.Context) ([]platform.Machine, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leaving, nil
}

func process(name string) identity.Process {
	return identity.Process{Machine: identity.Machine(name), Incarnation: 1, Address: name, Zone: "zone-a", Region: "region"}
}

// testSettings returns settings with short intervals.
func testSettings() Settings {
	return Settings{
		PollInterval: 20 * time.Millisecond, DigestInterval: 20 * time.Millisecond, DigestRefreshInterval: 100 * time.Millisecond,
		MachineListInterval: 20 * time.Millisecond, ReconcileInterval: 30 * time.Millisecond, MaxDigestAge: 2 * time.Second,
	}
}

// startService runs a service until the returned function is called, or until the spec ends.
func startService(network *memoryNetwork, source configuration.Source, name string, change func(*Options)) (*Service, func()) {
	daemon := fakeDaemon{memoryNetwork: network, self: process(name)}
	options := Options{Self: daemon.self, Configuration: source, Directory: daemon, PeerClient: daemon, Registrar: daemon, Settings: testSettings()}
	if change != nil {
		change(&options)
	}
	service, err := New(options)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	DeferCleanup(stop)
	return service, stop
}

// document returns a configuration with the engines in one pool, whose model has the given
// version.
func document(version string, engines ...*fakeEngine) configuration.Document {
	declared := configuration.Document{Models: []configuration.Model{{Name: "model", Version: version}}}
	pool := configuration.Pool{Name: "pool", Model: "model"}
	for _, fake := range engines {
		declared.Engines = append(declared.Engines, configuration.Engine{Name: fake.state.Name, Address: fake.URL, Zone: "zone-a"})
		pool.Engines = append(pool.Engines, fake.state.Name)
	}
	declared.Pools = append(declared.Pools, pool)
	return declared
}

// accepting returns a function that lists the names of the engines that accept work in the
// current snapshot.
func accepting(service *Service) func() []string {
	return func() []string {
		names := []string{}
		for _, engine := range service.Snapshot().Engines {
			if engine.Accepting {
				names = append(names, engine.ID)
			}
		}
		return names
	}
}

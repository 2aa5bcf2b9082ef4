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

// fakeEngine answers the administration of an engine.
type fakeEngine struct {
	*httptest.Server
	mutex    sync.Mutex
	state    enginev1.EngineState
	orders   []enginev1.Order
	held     map[string]bool
	failing  int // releases that fail before one succeeds
	claims   int
	outdated int // orders refused
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

// edit changes the engine's state.
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
		f.outdated++
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
	if f.failing > 0 {
		f.failing--
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	var release enginev1.ReleaseRequest
	_ = json.NewDecoder(request.Body).Decode(&release)
	for _, program := range release.Programs {
		delete(f.held, program)
	}
}

func (f *fakeEngine) holds() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.held)
}

// fakeSource is a configuration that tests replace.
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

func (f *fakeSource) Confirmed() bool            { return true }
func (f *fakeSource) Subscribe() <-chan struct{} { return nil }

// network is the daemons of a test, called in memory.
type network struct {
	mutex     sync.Mutex
	receivers map[string]*Receiver
	view      *members.View
	cut       string // address of a daemon that the others do not reach, nor it them
}

func newNetwork() *network {
	return &network{receivers: map[string]*Receiver{}, view: &members.View{}}
}

type fakeDaemon struct {
	*network
	self identity.Process
}

var errCut = errors.New("peer is not there")

func (n fakeDaemon) Call(_ context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	n.mutex.Lock()
	receiver := n.receivers[address]
	isCut := n.cut != "" && (n.cut == address) != (n.cut == n.self.Address)
	n.mutex.Unlock()
	if receiver == nil || isCut {
		return errCut
	}
	if method == methodFetch {
		return receiver.Fetch(arguments.(*FetchArguments), reply.(*DigestBatch))
	}
	return receiver.Digests(arguments.(*DigestBatch), reply.(*DigestReply))
}

func (n fakeDaemon) Register(_ string, service any) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.receivers[n.self.Address] = service.(*Receiver)
	return nil
}

func (n fakeDaemon) View() *members.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view
}

func (n fakeDaemon) Self() identity.Process     { return n.self }
func (n fakeDaemon) Subscribe() <-chan struct{} { return nil }

// cutOff cuts a daemon off from the others, and connects the one cut before.
func (n *network) cutOff(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut = address
}

// setMembers replaces the view by the alive daemons.
func (n *network) setMembers(processes ...identity.Process) {
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
	leaving []platform.ListedMachine
}

func (f *fakeMachines) List(context.Context) ([]platform.ListedMachine, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leaving, nil
}

func process(name string) identity.Process {
	return identity.Process{Machine: identity.Machine(name), Incarnation: 1, Address: name, Zone: "zone-a", Region: "region"}
}

// quick are settings for tests.
func quick() Settings {
	return Settings{
		PollInterval: 20 * time.Millisecond, SpreadInterval: 20 * time.Millisecond, RefreshInterval: 100 * time.Millisecond,
		MachineInterval: 20 * time.Millisecond, ReconcileInterval: 30 * time.Millisecond, DigestTooOld: 2 * time.Second,
	}
}

// start runs a service until the returned function is called.
func start(members *network, source configuration.Source, name string, change func(*Options)) (*Service, func()) {
	daemon := fakeDaemon{network: members, self: process(name)}
	options := Options{Self: daemon.self, Configuration: source, Directory: daemon, Caller: daemon, Registrar: daemon, Settings: quick()}
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

func document(version string, engines ...*fakeEngine) configuration.Document {
	written := configuration.Document{Models: []configuration.Model{{Name: "model", Version: version}}}
	pool := configuration.Pool{Name: "pool", Model: "model"}
	for _, fake := range engines {
		written.Engines = append(written.Engines, configuration.Engine{Name: fake.state.Name, Address: fake.URL, Zone: "zone-a"})
		pool.Engines = append(pool.Engines, fake.state.Name)
	}
	written.Pools = append(written.Pools, pool)
	return written
}

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

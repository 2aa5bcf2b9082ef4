package shards

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestShards(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "shards")
}

// listMachine is a state machine that stores the commands in order. Apply returns the number of
// commands before the new one.
type listMachine struct {
	mutex    sync.Mutex
	commands []string
}

func (l *listMachine) Apply(_ uint64, command []byte) any {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.commands = append(l.commands, string(command))
	return len(l.commands) - 1
}

func (l *listMachine) Snapshot() ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(l.commands)
	return buffer.Bytes(), err
}

func (l *listMachine) Restore(snapshot []byte) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&l.commands)
}

func (l *listMachine) allCommands() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.commands)
}

// fakeDirectory is a membership directory whose members are set by tests.
type fakeDirectory struct {
	members.Directory
	mutex sync.Mutex
	view  members.View
}

func (f *fakeDirectory) View() *members.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	copied := members.View{Loaded: true, Members: slices.Clone(f.view.Members)}
	return &copied
}

func (f *fakeDirectory) set(state members.State, process identity.Process) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.view.Members = slices.DeleteFunc(f.view.Members, func(member members.Member) bool {
		return member.Process.Machine == process.Machine
	})
	f.view.Members = append(f.view.Members, members.Member{Process: process, State: state})
}

// testDaemon is a running node with its state machines.
type testDaemon struct {
	node     *Node
	self     identity.Process
	store    *memorystore.Store
	stop     context.CancelFunc
	ended    chan error
	mutex    sync.Mutex
	machines map[identity.Shard]*listMachine
}

const testRowBytes = 64

func processOf(name string, incarnation uint64) identity.Process {
	return identity.Process{Machine: identity.Machine(name), Incarnation: identity.Incarnation(incarnation), Address: name + ":1"}
}

// startDaemon adds the daemon to the directory as alive and runs its node until kill is called
// or the spec ends.
func startDaemon(store *memorystore.Store, known *fakeDirectory, self identity.Process, shardCount uint32, expect int) *testDaemon {
	GinkgoHelper()
	known.set(members.StateAlive, self)
	daemon := &testDaemon{self: self, store: store, ended: make(chan error, 1), machines: map[identity.Shard]*listMachine{}}
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	var err error
	daemon.node, err = NewNode(Options{
		Self: self, Directory: known, ShardCount: shardCount, MinDaemons: expect, MaxRowBytes: testRowBytes, ReconcileInterval: 2 * time.Millisecond, SnapshotThresholdBytes: 2000,
		Store: state.NewClient(state.ClientOptions{Store: store, Availability: availability, Probe: state.KeyRange(headKey(1))}),
		NewStateMachine: func(shard identity.Shard) StateMachine {
			daemon.mutex.Lock()
			defer daemon.mutex.Unlock()
			daemon.machines[shard] = &listMachine{}
			return daemon.machines[shard]
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	daemon.stop = cancel
	go func() { daemon.ended <- daemon.node.Run(ctx) }()
	go func() {
		for {
			select {
			case <-daemon.node.Changes():
			case <-ctx.Done():
				return
			}
		}
	}()
	DeferCleanup(daemon.kill)
	return daemon
}

// kill stops the daemon without handing over its shards. It may be called repeatedly.
func (d *testDaemon) kill() {
	d.stop()
	Eventually(d.ended).Should(Receive())
	d.ended <- nil
}

func (d *testDaemon) leads(shard identity.Shard) bool { return d.node.replica(shard) != nil }

func (d *testDaemon) machine(shard identity.Shard) *listMachine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machines[shard]
}

func (d *testDaemon) propose(ctx context.Context, shard identity.Shard, format string, arguments ...any) error {
	_, err := d.node.Propose(ctx, shard, []byte(fmt.Sprintf(format, arguments...)))
	return err
}

package execution_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	shard  identity.Shard  = 1
	tenant identity.Tenant = "tenant"
)

// testCluster is a set of daemons of one replica group that share the same fake
// back ends, engines and configuration.
type testCluster struct {
	log           *fakeLog
	backEnd       *backEnd
	fleet         *fakeFleet
	policy        *fakePolicy
	configuration *fakeConfiguration
	limits        execution.Limits
	shards        uint32 // number of shards in the shard map; the daemons replicate only one of them
	daemons       []*daemon
}

// daemon is one daemon of a testCluster.
type daemon struct {
	*execution.Service
	groups  *fakeGroups
	metrics *prometheus.Registry
	stop    func()
}

// waitingCalls returns the metric value for calls that wait for an engine, or -1
// if the metric is missing.
func (d *daemon) waitingCalls() float64 {
	families, err := d.metrics.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == "thymeloft_execution_calls_waiting" {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}

func newTestCluster() *testCluster {
	return &testCluster{
		log:           &fakeLog{},
		backEnd:       &backEnd{executions: make(map[string]int)},
		fleet:         newFakeFleet(),
		policy:        &fakePolicy{},
		configuration: newFakeConfiguration(),
		limits:        execution.Limits{SweepInterval: 10 * time.Millisecond, MinLookupTimeout: 200 * time.Millisecond},
	}
}

// start starts a daemon that does not lead, and stops it when the test ends.
func (c *testCluster) start(name string) *daemon {
	self := identity.Process{Machine: identity.Machine(name), Incarnation: 1, Address: name}
	groups := c.log.join(self)
	metrics := prometheus.NewRegistry()
	service, err := execution.New(execution.Options{
		Registerer: metrics, Self: self, Groups: groups, ShardMap: fakeMap{c.shards}, Dispatcher: c.backEnd, Fleet: c.fleet,
		Policy: c.policy, Configuration: c.configuration, Limits: c.limits,
	})
	Expect(err).NotTo(HaveOccurred())
	groups.machine = service.NewShard(shard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer GinkgoRecover()
		Expect(service.Run(ctx)).To(Succeed())
	}()
	started := &daemon{Service: service, groups: groups, metrics: metrics, stop: func() {
		cancel()
		<-done
	}}
	c.daemons = append(c.daemons, started)
	DeferCleanup(started.stop)
	return started
}

// leadingDaemon returns the daemon that is the leader according to the log.
func (c *testCluster) leadingDaemon() *daemon {
	leader, _ := c.daemons[0].groups.Leader(shard)
	for _, candidate := range c.daemons {
		if candidate.groups.self == leader {
			return candidate
		}
	}
	return nil
}

// startLeader starts a daemon, makes it the leader and waits until it serves
// requests.
func (c *testCluster) startLeader(name string) *daemon {
	started := c.start(name)
	c.log.setLeader(started.groups)
	started.awaitLeading()
	return started
}

func (d *daemon) awaitLeading() {
	Eventually(func() any {
		reply, _ := d.Follow(context.Background(), execution.FollowArguments{Tenant: tenant, Program: identity.NewProgram(shard)})
		return reply.Problem.Kind
	}).Should(BeEquivalentTo("unknown-program"))
}

func (d *daemon) create(key string, limits program.Limits, parent identity.Program) identity.Program {
	reply, err := d.Create(context.Background(), execution.CreateArguments{Tenant: tenant, CreationKey: key, Limits: limits, Parent: parent})
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.Problem).To(BeNil())
	return reply.Program
}

func modelCall(sequence uint64) program.CallSpec {
	return program.CallSpec{
		Sequence: sequence, Target: program.TargetModel, Name: "model", MaxTokens: 100,
		Messages: []program.Message{{Role: "user", Content: fmt.Sprintf("question %d", sequence)}},
	}
}

func serviceCall(sequence uint64) program.CallSpec {
	return program.CallSpec{
		Sequence: sequence, Target: program.TargetService, Name: "ledger", Operation: "fund",
		Payload: []byte("once"), NotRepeatable: true,
	}
}

func (d *daemon) submit(identifier identity.Program, spec program.CallSpec) execution.SubmitReply {
	reply, err := d.Submit(context.Background(), execution.SubmitArguments{Tenant: tenant, Program: identifier, Call: spec})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

// follow reads a call until it is final or the request fails. It returns the
// content assembled from all replies, and the last reply.
func (d *daemon) follow(identifier identity.Program, sequence uint64) (string, execution.FollowReply) {
	var content strings.Builder
	arguments := execution.FollowArguments{Tenant: tenant, Program: identifier, Sequence: sequence, Wait: time.Second}
	for {
		reply, err := d.Follow(context.Background(), arguments)
		Expect(err).NotTo(HaveOccurred())
		if reply.Problem != nil {
			return content.String(), reply
		}
		if reply.Restarted {
			content.Reset()
		}
		content.WriteString(reply.Content)
		if reply.Done {
			return content.String(), reply
		}
		arguments.Offset, arguments.Attempt = content.Len(), reply.Attempt
	}
}

func (d *daemon) history(identifier identity.Program) execution.HistoryReply {
	reply, err := d.History(context.Background(), execution.HistoryArguments{Tenant: tenant, Program: identifier})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

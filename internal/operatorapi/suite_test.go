package operatorapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/operatorapi"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
)

func TestOperatorAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operatorapi")
}

const testOperatorKey = "a key of ailsa"

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// administrator is an in-memory configuration.Administrator whose changes can be
// made to fail.
type administrator struct {
	configuration.Administrator
	machine      *configuration.Machine
	beforeChange func()                 // called once, before the next change
	nextError    error                  // returned by the next change, which is applied nevertheless
	received     []configuration.Change // in order of arrival
}

func (a *administrator) Current() *configuration.Snapshot { return a.machine.Current() }
func (a *administrator) IsConfirmed() bool                { return true }

func (a *administrator) Change(_ context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	if before := a.beforeChange; before != nil {
		a.beforeChange = nil
		before()
	}
	a.received = append(a.received, change)
	command, err := configuration.EncodeChange(change)
	Expect(err).NotTo(HaveOccurred())
	result := *a.machine.Apply(0, command).(*configuration.ChangeResult)
	if failure := a.nextError; failure != nil {
		a.nextError = nil
		return configuration.ChangeResult{}, failure
	}
	return result, nil
}

func (a *administrator) History(_ context.Context, limit int) ([]configuration.Revision, error) {
	return a.machine.History(limit), nil
}

// programs is an execution.Programs with one program.
type programs struct {
	execution.Programs
	known     identity.Program
	endReason program.EndReason
}

func (p *programs) History(_ context.Context, arguments execution.HistoryArguments) (execution.HistoryReply, error) {
	if arguments.Program != p.known {
		return execution.HistoryReply{Problem: problem.New(problem.KindUnknownProgram, "read", "no such program")}, nil
	}
	return execution.HistoryReply{
		Program:  p.known,
		Tenant:   "brackenlaw",
		Class:    "batch",
		State:    program.ProgramOpen,
		Calls:    []program.Call{{Spec: program.CallSpec{Sequence: 1}, State: program.CallUnknown}},
		Messages: []program.Message{{Role: "user", Content: "check the debtor"}},
	}, nil
}

func (p *programs) End(_ context.Context, arguments execution.EndArguments) (execution.EndReply, error) {
	if p.endReason != "" {
		return execution.EndReply{Problem: problem.New(problem.KindProgramEnded, "end", "ended already")}, nil
	}
	p.endReason = arguments.Reason
	return execution.EndReply{}, nil
}

type directory struct{ members.Directory }

func (directory) Self() identity.Process { return identity.Process{Machine: "m1"} }
func (directory) View() *members.View {
	return &members.View{Members: []members.Member{{
		Process: identity.Process{Machine: "m1", Zone: "leith-a"},
		State:   members.StateLeaving,
	}}}
}

type groups struct{ shards.Groups }

func (groups) Status() []shards.Status {
	return []shards.Status{{
		Shard: 3, Term: 2, Leader: identity.Process{Machine: "m2", Incarnation: 7},
	}}
}

type fleet struct{ engine.Fleet }

func (fleet) Snapshot() *scheduling.Snapshot {
	return &scheduling.Snapshot{Engines: []scheduling.Engine{{ID: "e1", Model: "assess", Running: 5, Accepting: true}}}
}

// testServer is an HTTP server with the handler under test, and a client that
// sends a known key.
type testServer struct {
	administrator *administrator
	programs      *programs
	registry      *prometheus.Registry
	draining      atomic.Bool
	server        *httptest.Server
	client        operatorv1connect.OperatorServiceClient
}

func newTestServer(limits operatorapi.Limits) *testServer {
	s := &testServer{
		administrator: &administrator{machine: configuration.NewMachine()},
		programs:      &programs{known: identity.NewProgram(7)},
		registry:      prometheus.NewRegistry(),
	}
	s.server = httptest.NewServer(operatorapi.NewHandler(operatorapi.Options{
		Administrator: s.administrator,
		Programs:      s.programs,
		Directory:     directory{},
		Revisions: func(context.Context) (map[identity.Machine]uint64, error) {
			return map[identity.Machine]uint64{"m1": 4}, nil
		},
		Groups:     groups{},
		Fleet:      fleet{},
		Keys:       []string{"ailsa:" + hashKey(testOperatorKey)},
		Limits:     limits,
		Registerer: s.registry,
		Draining:   s.draining.Load,
	}))
	DeferCleanup(s.server.Close)
	s.client = s.withKey(testOperatorKey)
	return s
}

// changeCounts returns the values of the counter of changes, by result.
func (s *testServer) changeCounts() map[string]float64 {
	families, err := s.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	counts := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "thymeloft_operatorapi_changes_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

// withKey returns a client that sends the key.
func (s *testServer) withKey(key string) operatorv1connect.OperatorServiceClient {
	withBearer := connect.WithInterceptors(bearer(key))
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, s.server.URL, withBearer)
}

// bearer is a client interceptor that adds the key to unary calls and streams.
type bearer string

func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", "Bearer "+string(b))
		return next(ctx, request)
	}
}

func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		connection := next(ctx, spec)
		connection.RequestHeader().Set("Authorization", "Bearer "+string(b))
		return connection
	}
}

func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

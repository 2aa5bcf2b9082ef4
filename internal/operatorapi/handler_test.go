package operatorapi_test

import (
	"context"
	"errors"
	"strings"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi"
	"github.com/thymeloft/thymeloft/internal/program"
)

func applyRequest(identifier string, base uint64, tenants ...*operatorv1.Tenant) *connect.Request[operatorv1.ApplyConfigurationRequest] {
	return connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		ChangeIdentifier: identifier,
		BaseRevision:     base,
		Comment:          "as agreed",
		Content: &operatorv1.ApplyConfigurationRequest_Document{
			Document: &operatorv1.Document{Tenants: tenants},
		},
	})
}

// codeAndDetail returns the code and the first detail of an error.
func codeAndDetail(err error) (connect.Code, any) {
	var failure *connect.Error
	Expect(errors.As(err, &failure)).To(BeTrue())
	if len(failure.Details()) == 0 {
		return failure.Code(), nil
	}
	detail, err := failure.Details()[0].Value()
	Expect(err).NotTo(HaveOccurred())
	return failure.Code(), detail
}

var _ = Describe("Handler", func() {
	var server *testServer
	BeforeEach(func() { server = newTestServer(operatorapi.Limits{}) })

	It("applies a change, passing on only the difference", func(ctx SpecContext) {
		first := &operatorv1.Tenant{Name: "brackenlaw", Class: operatorv1.PriorityClass_PRIORITY_CLASS_BATCH, Idle: durationpb.New(90e9)}
		second := &operatorv1.Tenant{Name: "theory-desk"}
		_, err := server.client.ApplyConfiguration(ctx, applyRequest("one", 0, first))
		Expect(err).NotTo(HaveOccurred())
		applied, err := server.client.ApplyConfiguration(ctx, applyRequest("two", 1, second, first))
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Msg.GetRevision()).To(Equal(uint64(2)))
		Expect(server.administrator.received[1].Partial.ItemCount()).To(Equal(1))

		got, err := server.client.GetConfiguration(ctx, connect.NewRequest(&operatorv1.GetConfigurationRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Msg.GetDocument().GetTenants()).To(HaveLen(2))
		Expect(got.Msg.GetDocument().GetTenants()[0].GetIdle().AsDuration().Seconds()).To(Equal(90.0))
		listed, err := server.client.ListRevisions(ctx, connect.NewRequest(&operatorv1.ListRevisionsRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(listed.Msg.GetRevisions()).To(HaveLen(2))
		Expect(listed.Msg.GetRevisions()[0].GetOperator()).To(Equal("ailsa"))
		Expect(listed.Msg.GetRevisions()[0].GetComment()).To(Equal("as agreed"))
	})

	It("distinguishes conflicts, faults and uncertain outcomes", func(ctx SpecContext) {
		_, err := server.client.ApplyConfiguration(ctx, applyRequest("one", 0, &operatorv1.Tenant{Name: "a"}))
		Expect(err).NotTo(HaveOccurred())

		_, err = server.client.ApplyConfiguration(ctx, applyRequest("two", 0, &operatorv1.Tenant{Name: "b"}))
		code, detail := codeAndDetail(err)
		Expect(code).To(Equal(connect.CodeAborted))
		Expect(detail.(*operatorv1.Conflict).GetCurrentRevision()).To(Equal(uint64(1)))

		unknownClass := &operatorv1.Tenant{Name: "c", Class: 99, Burst: -1}
		_, err = server.client.ApplyConfiguration(ctx, applyRequest("three", 1, unknownClass))
		code, detail = codeAndDetail(err)
		Expect(code).To(Equal(connect.CodeInvalidArgument))
		Expect(detail.(*operatorv1.Faults).GetFaults()).To(ConsistOf(ContainSubstring(`class "99"`), ContainSubstring("burst")))

		server.administrator.nextError = configuration.ErrChangeUncertain
		request := applyRequest("four", 1, &operatorv1.Tenant{Name: "d"})
		_, err = server.client.ApplyConfiguration(ctx, request)
		code, detail = codeAndDetail(err)
		Expect(code).To(Equal(connect.CodeUnavailable))
		Expect(detail.(*operatorv1.Uncertain).GetChangeIdentifier()).To(Equal("four"))
		repeated, err := server.client.ApplyConfiguration(ctx, applyRequest("four", 1, &operatorv1.Tenant{Name: "d"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated.Msg.GetRevision()).To(Equal(uint64(2)))

		server.administrator.nextError = errors.New("no leader")
		_, err = server.client.ApplyConfiguration(ctx, applyRequest("five", 2, &operatorv1.Tenant{Name: "e"}))
		code, detail = codeAndDetail(err)
		Expect(code).To(Equal(connect.CodeUnavailable))
		Expect(detail).To(BeNil())
		_, err = server.client.ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
			ChangeIdentifier: "six", BaseRevision: 3, Content: &operatorv1.ApplyConfigurationRequest_Partial{
				Partial: &operatorv1.Difference{Deletes: &operatorv1.Names{Pools: []string{"none"}}},
			},
		}))
		code, detail = codeAndDetail(err)
		Expect(code).To(Equal(connect.CodeInvalidArgument))
		Expect(detail.(*operatorv1.Faults).GetFaults()).To(ConsistOf(ContainSubstring("does not exist")))
		Expect(server.changeCounts()).To(Equal(map[string]float64{
			"accepted": 2, "conflict": 1, "invalid": 1, "not-made": 1, "uncertain": 1,
		}))
	})

	It("rejects changes without content or a valid identifier before they reach the administrator", func(ctx SpecContext) {
		_, err := server.client.ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{ChangeIdentifier: "x"}))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		_, err = server.client.ApplyConfiguration(ctx, applyRequest("", 0))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		_, err = server.client.ApplyConfiguration(ctx, applyRequest(strings.Repeat("x", 200), 0))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		Expect(server.administrator.received).To(BeEmpty())
	})

	It("validates without changing and lists what would change", func(ctx SpecContext) {
		validated, err := server.client.ValidateConfiguration(ctx, connect.NewRequest(&operatorv1.ValidateConfigurationRequest{
			Content: &operatorv1.ValidateConfigurationRequest_Partial{Partial: &operatorv1.Difference{
				Upserts: &operatorv1.Document{Drains: []string{"e1"}},
			}},
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(validated.Msg.GetChanges()).To(HaveLen(1))
		Expect(validated.Msg.GetChanges()[0].GetAction()).To(Equal("added"))
		Expect(server.administrator.Current().Revision).To(BeZero())
	})

	It("sets drains despite a concurrent change, and returns the first result for a repeated request", func(ctx SpecContext) {
		server.administrator.beforeChange = func() {
			_, err := server.client.ApplyConfiguration(ctx, applyRequest("racing", 0, &operatorv1.Tenant{Name: "a"}))
			Expect(err).NotTo(HaveOccurred())
		}
		request := &operatorv1.SetDrainsRequest{ChangeIdentifier: "drain", Add: []string{"e1"}, Remove: []string{"never-there"}}
		set, err := server.client.SetDrains(ctx, connect.NewRequest(request))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Msg.GetRevision()).To(Equal(uint64(2)))
		Expect(set.Msg.GetDrains()).To(Equal([]string{"e1"}))
		Expect(server.administrator.Current().Document.Tenants).To(HaveLen(1))

		_, err = server.client.SetDrains(ctx, connect.NewRequest(request))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.administrator.Current().Revision).To(Equal(uint64(2)))

		stale := uint64(1)
		_, err = server.client.SetDrains(ctx, connect.NewRequest(&operatorv1.SetDrainsRequest{
			ChangeIdentifier: "stale", Remove: []string{"e1"}, BaseRevision: &stale,
		}))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
	})

	It("streams the document and then differences, and limits the number of streams", func(ctx SpecContext) {
		server = newTestServer(operatorapi.Limits{MaxWatchStreams: 1})
		_, err := server.client.ApplyConfiguration(ctx, applyRequest("one", 0, &operatorv1.Tenant{Name: "a"}))
		Expect(err).NotTo(HaveOccurred())
		watching, stop := context.WithCancel(ctx)
		defer stop()
		stream, err := server.client.WatchConfiguration(watching, connect.NewRequest(&operatorv1.WatchConfigurationRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeTrue())
		Expect(stream.Msg().GetDocument().GetTenants()).To(HaveLen(1))

		refused, err := server.client.WatchConfiguration(ctx, connect.NewRequest(&operatorv1.WatchConfigurationRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Receive()).To(BeFalse())
		Expect(connect.CodeOf(refused.Err())).To(Equal(connect.CodeResourceExhausted))

		_, err = server.client.ApplyConfiguration(ctx, applyRequest("two", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeTrue())
		Expect(stream.Msg().GetRevision()).To(Equal(uint64(2)))
		Expect(stream.Msg().GetDifference().GetDeletes().GetTenants()).To(Equal([]string{"a"}))

		server.draining.Store(true)
		Expect(stream.Receive()).To(BeFalse(), "the stream must end when the daemon drains")
		Expect(connect.CodeOf(stream.Err())).To(Equal(connect.CodeUnavailable))
	})

	It("rejects unknown keys and oversized requests, and finds malformed keys", func(ctx SpecContext) {
		ask := connect.NewRequest(&operatorv1.GetConfigurationRequest{})
		_, err := server.withKey("guessed").GetConfiguration(ctx, ask)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated))
		stream, err := server.withKey("").WatchConfiguration(ctx, connect.NewRequest(&operatorv1.WatchConfigurationRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeFalse())
		Expect(connect.CodeOf(stream.Err())).To(Equal(connect.CodeUnauthenticated))

		small := newTestServer(operatorapi.Limits{MaxRequestBytes: 100})
		_, err = small.client.ApplyConfiguration(ctx, applyRequest("one", 0, &operatorv1.Tenant{Name: strings.Repeat("x", 100)}))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
		Expect(operatorapi.CheckKeys([]string{hashKey("x"), "ailsa:zz"})).To(ConsistOf(ContainSubstring("operator key 2")))
	})

	It("returns members, shards and engines", func(ctx SpecContext) {
		status, err := server.client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Msg.GetMembers()[0].GetState()).To(Equal(operatorv1.MemberState_MEMBER_STATE_LEAVING))
		Expect(status.Msg.GetMembers()[0].GetConfigurationRevision()).To(BeEquivalentTo(4))
		Expect(status.Msg.GetGroups()[0].GetLeader()).To(Equal("m2"))
		Expect(status.Msg.GetGroups()[0].GetReplicas()).To(Equal([]string{"m2"}))
		Expect(status.Msg.GetGroups()[0].GetReplicaIncarnations()).To(Equal([]uint64{7}))
		Expect(status.Msg.GetEngines()[0].GetRunning()).To(Equal(int64(5)))
	})

	It("reads and ends programs", func(ctx SpecContext) {
		known := string(server.programs.known)
		got, err := server.client.GetProgram(ctx, connect.NewRequest(&operatorv1.GetProgramRequest{Program: known}))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Msg.GetProgram().GetCalls()[0].GetState()).To(Equal(operatorv1.CallState_CALL_STATE_OUTCOME_UNKNOWN))
		Expect(got.Msg.GetProgram().GetMessages()).To(BeEmpty())
		_, err = server.client.GetProgram(ctx, connect.NewRequest(&operatorv1.GetProgramRequest{Program: known[:8] + strings.Repeat("a", 24)}))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeNotFound))
		_, err = server.client.GetProgram(ctx, connect.NewRequest(&operatorv1.GetProgramRequest{Program: "mine"}))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))

		end := &operatorv1.EndProgramRequest{Program: known}
		for range 2 {
			_, err = server.client.EndProgram(ctx, connect.NewRequest(end))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(server.programs.endReason).To(Equal(program.EndByOperator))
	})
})

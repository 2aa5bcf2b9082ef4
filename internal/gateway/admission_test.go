package gateway

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/admission"
	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// startedReservation is a budget reservation that reports earlier work of the program.
type startedReservation struct {
	budget.Settler
	attained int64
	engine   string
}

func (r startedReservation) GeneratedTokens() int64      { return r.attained }
func (r startedReservation) CachedPrefix() (string, int) { return r.engine, 1 }

var _ = Describe("admitProgram", func() {
	var current *execution
	BeforeEach(func() {
		fleet := backend.NewFleet(time.Now)
		fleet.Apply(backend.Declaration{ID: "e1", Service: "llm", Address: "e1:1", Version: 1})
		fleet.Apply(backend.Declaration{ID: "e2", Service: "llm", Address: "e2:1", Version: 1, Draining: true})
		controller := admission.NewController(admission.Options{
			Members: func() int { return 1 }, Services: func() []string { return []string{"llm"} }, Now: time.Now, Log: zap.NewNop(),
		})
		current = &execution{
			gateway: &Gateway{Options: Options{Fleet: fleet, Admission: controller}, recentPrograms: newRecentPrograms()},
			service: &routetable.Service{Name: "llm", Model: true, MemoryTokens: 1000},
			route:   &routetable.Route{Name: "chat", Priority: 1},
			call:    Call{Program: "p", Prefix: []backend.PromptPart{{Name: "all", Tokens: 5000}}},
		}
	})

	It("refuses a first turn when the engines have no capacity left, and says when to retry", func() {
		var refusal *Refusal
		current.gateway.recentPrograms.add("p")
		Expect(errors.As(current.admitProgram(), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonOverload))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(current.leaveAdmission).NotTo(Panic())
		Expect(current.gateway.recentPrograms.has("p")).To(BeFalse())
	})

	DescribeTable("admits a turn of a started program, and requests that need no admission", func(prepare func()) {
		prepare()
		Expect(current.admitProgram()).To(Succeed())
	},
		Entry("the call names an earlier turn", func() { current.call.Previous = "t" }),
		Entry("the program generated tokens through another daemon", func() { current.reservation = startedReservation{attained: 1} }),
		Entry("an engine read the program's prompt for another daemon", func() { current.reservation = startedReservation{engine: "e1"} }),
		Entry("the call belongs to no program", func() { current.call.Program = "" }),
		Entry("the service is not a model", func() { current.service.Model = false }),
		Entry("admission control is disabled", func() { current.gateway.Admission = nil }),
	)

	It("counts only engines that accept work, and prefers the tenant's priority to the route's", func() {
		Expect(current.engineCapacity()).To(Equal(admission.Capacity{Engines: 1, MemoryTokens: 1000}))
		Expect(current.admissionRequest().Priority).To(Equal(1))
		highest := 0
		current.tenant = &tenant.Tenant{Name: identity.Tenant("t"), Priority: &highest}
		Expect(current.admissionRequest().Priority).To(Equal(0))
		Expect(current.admissionRequest().Tenant).To(Equal("t"))
	})

	It("withdraws a program that no engine started", func() {
		current.call.Prefix[0].Tokens = 900
		Expect(current.admitProgram()).To(Succeed())
		current.leaveAdmission()
		current.call.Program = "q"
		Expect(current.admitProgram()).To(Succeed())
	})
})

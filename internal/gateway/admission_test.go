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

// drawnOn is a reservation whose holder knows what the program did through other daemons.
type drawnOn struct {
	budget.Settler
	attained int64
	engine   string
}

func (d drawnOn) Attained() int64       { return d.attained }
func (d drawnOn) ReadAt() (string, int) { return d.engine, 1 }

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
			gateway: &Gateway{Options: Options{Fleet: fleet, Admission: controller}, begun: newBegunPrograms()},
			service: &routetable.Service{Name: "llm", Model: true, MemoryTokens: 1000},
			route:   &routetable.Route{Name: "chat", Priority: 1},
			call:    Call{Program: "p", Prefix: []backend.PromptPart{{Name: "all", Tokens: 5000}}},
		}
	})

	It("refuses a first turn for which there is no room, with when to come back", func() {
		var refusal *Refusal
		current.gateway.begun.note("p")
		Expect(errors.As(current.admitProgram(), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonOverload))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.After).To(BeNumerically(">", 0))
		Expect(current.leaveProgram).NotTo(Panic())
		Expect(current.gateway.begun.has("p")).To(BeFalse())
	})

	DescribeTable("lets go on what has begun, also through other daemons", func(begun func()) {
		begun()
		Expect(current.admitProgram()).To(Succeed())
	},
		Entry("it names a turn", func() { current.call.Previous = "t" }),
		Entry("its program generated something", func() { current.reservation = drawnOn{attained: 1} }),
		Entry("its program was read at an engine", func() { current.reservation = drawnOn{engine: "e1"} }),
		Entry("it belongs to no program", func() { current.call.Program = "" }),
		Entry("it is a tool's call", func() { current.service.Model = false }),
		Entry("admission is switched off", func() { current.gateway.Admission = nil }),
	)

	It("knows the engines that may get work, and goes by the tenant's priority before the route's", func() {
		Expect(current.room()).To(Equal(admission.Room{Engines: 1, MemoryTokens: 1000}))
		Expect(current.admissionRequest().Priority).To(Equal(1))
		first := 0
		current.tenant = &tenant.Tenant{Name: identity.Tenant("t"), Priority: &first}
		Expect(current.admissionRequest().Priority).To(Equal(0))
		Expect(current.admissionRequest().Tenant).To(Equal("t"))
	})

	It("takes back a program that no engine began to run", func() {
		current.call.Prefix[0].Tokens = 900
		Expect(current.admitProgram()).To(Succeed())
		current.leaveProgram()
		current.call.Program = "q"
		Expect(current.admitProgram()).To(Succeed())
	})
})

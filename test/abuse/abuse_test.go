// Package abuse_test plays clients that do not behave against gateway processes, beside ordinary callers.
package abuse_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/thymeloft/thymeloft/internal/lab/abuse"
)

func TestAbuse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clients that do not behave")
}

// The smallest and the largest machine of the deployments.
var smallest, largest = abuse.Machine{MemoryMB: 72, Descriptors: 4100}, abuse.Machine{MemoryMB: 536, Descriptors: 8200}

var gatewayBinary, labBinary string

// The race detector multiplies the memory of a process, so that the gateway is built without it.
var _ = BeforeSuite(func() {
	var err error
	gatewayBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway")
	Expect(err).NotTo(HaveOccurred())
	labBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-lab")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// play plays the clients at the endpoint of two gateways at the same time, one on each machine.
func play(ctx SpecContext, endpoint abuse.Endpoint, clients []abuse.Client) {
	GinkgoHelper()
	const duration = 2 * time.Second
	machines := []abuse.Machine{smallest, largest}
	reports, failures := make([]*abuse.Report, len(machines)), make([]error, len(machines))
	var playing sync.WaitGroup
	for index, machine := range machines {
		playing.Go(func() {
			reports[index], failures[index] = abuse.Run(ctx, abuse.Options{
				GatewayBinary: gatewayBinary, LabBinary: labBinary, Machine: machine, Endpoint: endpoint, Clients: clients, Duration: duration,
			})
		})
	}
	playing.Wait()
	for index, machine := range machines {
		Expect(failures[index]).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%d MB: %+v\n", machine.MemoryMB, *reports[index])
		Expect(reports[index].Findings()).To(BeEmpty(), "on a machine with %d MB", machine.MemoryMB)
	}
}

// Guards against clients that end or hang a gateway, take more memory than its machine has, or leave
// ordinary callers unserved.
var _ = Describe("a gateway stays within its memory and serves ordinary callers", func() {
	for _, endpoint := range abuse.Endpoints() {
		for _, client := range abuse.Clients() {
			It(fmt.Sprintf("beside %s at %s", client.Name, endpoint), func(ctx SpecContext) {
				play(ctx, endpoint, []abuse.Client{client})
			})
		}
		It(fmt.Sprintf("beside all kinds of such clients at once at %s", endpoint), func(ctx SpecContext) {
			play(ctx, endpoint, abuse.Mixed(abuse.Clients()))
		})
	}
})

// Guards against an engine that ends a gateway, or leaves the callers of others unserved, by bytes without end.
var _ = Describe("a gateway stays within its memory beside an engine that sends without end", func() {
	for _, answer := range abuse.EndlessAnswers() {
		It(answer.Name, func(ctx SpecContext) {
			report, err := abuse.Run(ctx, abuse.Options{GatewayBinary: gatewayBinary, Machine: smallest, Endless: &answer, Duration: 4 * time.Second})
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Printf("%+v\n", *report)
			Expect(report.Findings()).To(BeEmpty())
		})
	}
})

// expectServed expects that all requests were answered 200, within the memory of the machine.
func expectServed(machine abuse.Machine, statuses map[string]int, peakMemory int64) {
	GinkgoHelper()
	Expect(statuses).NotTo(BeEmpty())
	for name, status := range statuses {
		Expect(status).To(Equal(200), name)
	}
	const megabyte = 1 << 20
	Expect(peakMemory).To(BeNumerically("<=", machine.MemoryMB*megabyte))
}

// machines are the sizes of the deployments' machines.
var machines = []TableEntry{
	Entry("on the smallest machine", smallest),
	Entry("on a small machine", abuse.Machine{MemoryMB: 112, Descriptors: 4100}),
	Entry("on a medium machine", abuse.Machine{MemoryMB: 254, Descriptors: 8200}),
	Entry("on the largest machine", largest),
}

// Guards against limits that a client meets which stays within those of the configuration.
var _ = DescribeTable("a gateway serves the largest requests that its limits allow, in calm",
	func(ctx SpecContext, machine abuse.Machine) {
		statuses, peak, err := abuse.RunLargest(ctx, gatewayBinary, machine)
		Expect(err).NotTo(HaveOccurred())
		expectServed(machine, statuses, peak)
	},
	machines,
)

var _ = DescribeTable("a gateway serves and records the largest turn that its limits allow, in calm",
	func(ctx SpecContext, machine abuse.Machine) {
		statuses, peak, err := abuse.RunLargestTurn(ctx, gatewayBinary, machine)
		Expect(err).NotTo(HaveOccurred())
		expectServed(machine, statuses, peak)
	},
	machines,
)

package workload_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/workload"
)

func TestTracesAreValidAndReproducible(t *testing.T) {
	for _, generate := range []func(seed uint64, scale float64) workload.Trace{workload.Brackenlaw, workload.TheoryDesk} {
		expect := gomega.NewWithT(t)
		trace := generate(5, 0.5)
		expect.Expect(generate(5, 0.5)).To(gomega.Equal(trace))
		expect.Expect(generate(6, 0.5)).NotTo(gomega.Equal(trace))
		expect.Expect(trace.Engines).To(gomega.HaveLen(10))
		busier := generate(5, 1)
		expect.Expect(busier.RootCount()).To(gomega.BeNumerically(">", trace.RootCount()))
		expect.Expect(generate(5, 0).Programs).To(gomega.BeEmpty())

		spawned := map[int]int{}
		for index := range trace.Programs {
			program := &trace.Programs[index]
			expect.Expect(program.Index).To(gomega.Equal(index))
			expect.Expect(program.Turns).NotTo(gomega.BeEmpty())
			expect.Expect(program.Arrival).To(gomega.BeNumerically("<", 2*trace.Length))
			for _, turn := range program.Turns {
				expect.Expect(turn.PromptTokens).To(gomega.BeNumerically(">", 0))
				expect.Expect(turn.OutputTokens).To(gomega.BeNumerically(">", 0))
				for _, child := range turn.Children {
					expect.Expect(trace.Programs[child].Parent).To(gomega.Equal(index))
					spawned[child]++
				}
			}
		}
		expect.Expect(spawned).To(gomega.HaveLen(len(trace.Programs) - trace.RootCount()))
	}
}

package backend

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("SharedPartTracker", func() {
	const memoryTokens = 100_000
	var tracker *SharedPartTracker
	prompt := []PromptPart{{Name: "shared", Tokens: 12_000}, {Name: "own", Tokens: 1_000}}

	BeforeEach(func() { tracker = NewSharedPartTracker() })

	It("marks a part as shared once a second program uses it", func() {
		for range 3 {
			Expect(tracker.Record("p1", prompt, memoryTokens)).To(Equal(0), "one program's own parts are not shared")
		}
		other := []PromptPart{prompt[0], {Name: "other", Tokens: 1_000}}
		Expect(tracker.Record("p2", other, memoryTokens)).To(Equal(1))
		Expect(tracker.Record("p1", prompt, memoryTokens)).To(Equal(1))
	})

	It("does not count shared parts after an unshared one", func() {
		tracker.Record("p1", prompt, memoryTokens)
		Expect(tracker.Record("p2", []PromptPart{{Name: "new", Tokens: 10}, prompt[0]}, memoryTokens)).To(Equal(0))
	})

	It("records nothing without a program", func() {
		tracker.Record("", prompt, memoryTokens)
		tracker.Record("", prompt, memoryTokens)
		Expect(tracker.Record("p1", prompt, memoryTokens)).To(Equal(0))
	})

	It("counts no part as cached everywhere if the shared parts exceed their share of the memory", func() {
		noteTwice := func(number int) int {
			part := []PromptPart{{Name: fmt.Sprintf("shared %d", number), Tokens: 12_000}}
			tracker.Record("p1", part, memoryTokens)
			return tracker.Record("p2", part, memoryTokens)
		}
		for number := range 4 {
			Expect(noteTwice(number)).To(Equal(1))
		}
		Expect(noteTwice(5)).To(Equal(0), "60,000 of 100,000 tokens")
		Expect(tracker.Record("p3", []PromptPart{{Name: "shared 1", Tokens: 12_000}}, memoryTokens)).To(Equal(0))
		Expect(tracker.Record("p3", []PromptPart{{Name: "shared 1", Tokens: 12_000}}, 2*memoryTokens)).To(Equal(1))
		Expect(tracker.Record("p3", []PromptPart{{Name: "shared 1", Tokens: 12_000}}, 0)).To(Equal(0), "unknown memory size")
	})

	It("frees the tokens of shared parts that have not been used for a long time", func() {
		noteTwice := func(name string) int {
			part := []PromptPart{{Name: name, Tokens: memoryTokens / 3}}
			tracker.Record("p1", part, memoryTokens)
			return tracker.Record("p2", part, memoryTokens)
		}
		Expect(noteTwice("old")).To(Equal(1))
		Expect(noteTwice("next")).To(Equal(0))
		for number := range maxTrackedParts - 1 {
			tracker.Record("p1", []PromptPart{{Name: fmt.Sprint(number), Tokens: 1}}, memoryTokens)
		}
		Expect(tracker.Record("p3", []PromptPart{{Name: "next", Tokens: memoryTokens / 3}}, memoryTokens)).To(Equal(1))
	})
})

package turn

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Common prefixes of first inputs", func() {
	// textOf returns a text of the given size in bytes, different for each kind. Inputs are
	// concatenations of a text that all programs share, one that a class of programs shares, and
	// one of a single program.
	textOf := func(kind string, size int) string {
		return strings.Repeat(kind+" says something. ", size)[:size]
	}
	input := func(parts ...string) []byte { return []byte(strings.Join(parts, "")) }
	all, class, other := textOf("all", 3000), textOf("class", 9000), textOf("other", 9000)

	var index *prefixIndex

	BeforeEach(func() { index = newPrefixIndex() })

	It("are found from the second input on, rounded down to whole steps", func() {
		Expect(index.sharedLength(input(all, class, "one "+textOf("one", 1000)))).To(BeZero())
		Expect(index.sharedLength(input(all, class, "two "+textOf("two", 1000)))).To(Equal(12000 / prefixStepBytes * prefixStepBytes))
	})

	It("are found for each class of programs, although all programs share a shorter prefix", func() {
		for number := range 4 {
			index.sharedLength(input(all, class, fmt.Sprint("c", number), textOf("c", 1000)))
			index.sharedLength(input(all, other, fmt.Sprint("o", number), textOf("o", 1000)))
		}
		Expect(index.sharedLength(input(all, class, "last"))).To(Equal(12000 / prefixStepBytes * prefixStepBytes))
		Expect(index.sharedLength(input(all, other, "last"))).To(Equal(12000 / prefixStepBytes * prefixStepBytes))
		Expect(index.sharedLength(input(all, textOf("third", 9000)))).To(Equal(3000 / prefixStepBytes * prefixStepBytes))
	})

	It("are still those shared with other programs when an input is repeated", func() {
		index.sharedLength(input(all, class, "one", textOf("one", 1000)))
		index.sharedLength(input(all, class, "two", textOf("two", 1000)))
		Expect(index.sharedLength(input(all, class, "one", textOf("one", 1000)))).To(Equal(12000 / prefixStepBytes * prefixStepBytes))
	})

	It("are not reported if they are shorter than minSharedBytes", func() {
		index.sharedLength(input(all[:1500], "one"))
		Expect(index.sharedLength(input(all[:1500], "two"))).To(BeZero())
		Expect(index.sharedLength(input("x"))).To(BeZero())
	})

	It("are found with a bounded index", func() {
		for number := range 2000 {
			index.sharedLength(input(textOf(fmt.Sprint(number), 14000)))
		}
		Expect(index.totalBytes).To(BeNumerically("<=", maxIndexBytes))
		Expect(index.inputs.Len()).To(BeNumerically("<=", maxPrefixKeys))
		for number := range 2000 {
			index.sharedLength(input(all, textOf(fmt.Sprint(number), 60000)))
		}
		held, _ := index.inputs.Peek(index.inputs.Keys()[index.inputs.Len()-1])
		Expect(len(held)).To(BeNumerically("<=", maxInputsPerKey))
		Expect(index.totalBytes).To(BeNumerically("<=", maxIndexBytes))
	})
})

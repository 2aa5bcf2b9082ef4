package turn

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The beginnings of first inputs", func() {
	// parts are what prompts are made of: of one program, of a class of programs, of all.
	of := func(kind string, size int) string {
		return strings.Repeat(kind+" says something. ", size)[:size]
	}
	input := func(parts ...string) []byte { return []byte(strings.Join(parts, "")) }
	all, class, other := of("all", 3000), of("class", 9000), of("other", 9000)

	var known *beginnings

	BeforeEach(func() { known = newBeginnings() })

	It("are shared by what comes second, up to a step before they differ", func() {
		Expect(known.shared(input(all, class, "one "+of("one", 1000)))).To(BeZero())
		Expect(known.shared(input(all, class, "two "+of("two", 1000)))).To(Equal(12000 / sharedStep * sharedStep))
	})

	It("are found for each class of programs, also where all begin alike", func() {
		for number := range 4 {
			known.shared(input(all, class, fmt.Sprint("c", number), of("c", 1000)))
			known.shared(input(all, other, fmt.Sprint("o", number), of("o", 1000)))
		}
		Expect(known.shared(input(all, class, "last"))).To(Equal(12000 / sharedStep * sharedStep))
		Expect(known.shared(input(all, other, "last"))).To(Equal(12000 / sharedStep * sharedStep))
		Expect(known.shared(input(all, of("third", 9000)))).To(Equal(3000 / sharedStep * sharedStep))
	})

	It("are those of other programs where the same input comes again", func() {
		known.shared(input(all, class, "one", of("one", 1000)))
		known.shared(input(all, class, "two", of("two", 1000)))
		Expect(known.shared(input(all, class, "one", of("one", 1000)))).To(Equal(12000 / sharedStep * sharedStep))
	})

	It("are not worth a piece where they are short", func() {
		known.shared(input(all[:1500], "one"))
		Expect(known.shared(input(all[:1500], "two"))).To(BeZero())
		Expect(known.shared(input("x"))).To(BeZero())
	})

	It("are remembered in bounded memory", func() {
		for number := range 2000 {
			known.shared(input(of(fmt.Sprint(number), 14000)))
		}
		Expect(known.bytes).To(BeNumerically("<=", mostBeginningBytes))
		Expect(known.known.Len()).To(BeNumerically("<=", mostBeginnings))
		for number := range 2000 {
			known.shared(input(all, of(fmt.Sprint(number), 60000)))
		}
		held, _ := known.known.Peek(known.known.Keys()[known.known.Len()-1])
		Expect(len(held)).To(BeNumerically("<=", mostAlike))
		Expect(known.bytes).To(BeNumerically("<=", mostBeginningBytes))
	})
})

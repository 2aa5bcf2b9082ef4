package gateway

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("eventReader", func() {
	const stream = "id: 1\ndata: one\n\nid: 2\r\ndata:two\r\n\r\n: comment\n\nid: 3\ndata: a\ndata: b\n\n"

	It("counts events and collects their data, whatever the size of the chunks", func() {
		for size := 1; size < len(stream); size++ {
			reader := eventReader{collect: true}
			for rest := stream; rest != ""; {
				piece := rest[:min(size, len(rest))]
				reader.write([]byte(piece))
				rest = rest[len(piece):]
			}
			Expect(string(reader.output)).To(Equal("one\ntwo\na\nb\n"), "chunks of %d bytes", size)
			Expect(reader.count).To(Equal(3))
			Expect(reader.isPartial()).To(BeFalse())
		}
	})

	// Guards against a stream that counts as whole though it ends within an event.
	It("is within an event from the first byte of its first field to the end of its empty line", func() {
		const between = "|" // marks each place between two events
		marked := "|id: 1\ndata: one\n\n|id: 2\r\ndata:two\r\n\r\n|: comment\n|\n|weights-versions: 2\nid: 3\n: within\ndata: a\ndata: b\n\n|retry: 5\n\n|"
		reader := eventReader{}
		for position, text := range strings.Split(marked, between) {
			for index := range len(text) {
				reader.write([]byte{text[index]})
				Expect(reader.isPartial()).To(Equal(index < len(text)-1), "part %d, after byte %d of %q", position, index+1, text)
			}
		}
	})

	It("counts events with long lines without collecting their data", func() {
		reader := eventReader{}
		long := strings.Repeat("x", 1<<16)
		for range 3 {
			reader.write([]byte("data: " + long))
			Expect(reader.bufferedBytes()).To(BeNumerically("<", 16))
			reader.write([]byte(long + "\r\n\r\n"))
			Expect(reader.bufferedBytes()).To(BeNumerically("<", 16))
		}
		Expect(reader.count).To(Equal(3))
		Expect(reader.isPartial()).To(BeFalse())
	})

	// Guards against tokens that are charged for an event of which the caller got no data.
	It("does not count an event without data", func() {
		reader := eventReader{}
		reader.write([]byte("id: 1\ndata: one\n\nid: 2\n"))
		Expect(reader.isPartial()).To(BeTrue())
		Expect(reader.countWithPartial()).To(Equal(1))
	})

	It("includes an incomplete event in countWithPartial", func() {
		reader := eventReader{}
		reader.write([]byte("id: 1\ndata: one\n\nid: 2\nda"))
		Expect(reader.isPartial()).To(BeTrue())
		Expect(reader.countWithPartial()).To(Equal(2))
	})
})

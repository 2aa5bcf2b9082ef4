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

	It("counts events and collects their data, however the bytes come", func() {
		for size := 1; size < len(stream); size++ {
			reader := eventReader{collect: true}
			for rest := stream; rest != ""; {
				piece := rest[:min(size, len(rest))]
				reader.write([]byte(piece))
				rest = rest[len(piece):]
			}
			Expect(string(reader.output)).To(Equal("one\ntwo\na\nb\n"), "pieces of %d", size)
			Expect(reader.count).To(Equal(3))
			Expect(reader.partial()).To(BeFalse())
		}
	})

	It("counts events without keeping them, however long their lines are", func() {
		reader := eventReader{}
		long := strings.Repeat("x", 1<<16)
		for range 3 {
			reader.write([]byte("data: " + long))
			Expect(reader.size()).To(BeNumerically("<", 16))
			reader.write([]byte(long + "\r\n\r\n"))
			Expect(reader.size()).To(BeNumerically("<", 16))
		}
		Expect(reader.count).To(Equal(3))
		Expect(reader.partial()).To(BeFalse())
	})

	It("counts an event that was begun", func() {
		reader := eventReader{}
		reader.write([]byte("id: 1\ndata: one\n\nid: 2\nda"))
		Expect(reader.partial()).To(BeTrue())
		Expect(reader.begun()).To(Equal(2))
	})
})

package answer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestFramingOfAnswers(t *testing.T) {
	for _, each := range []struct {
		method, head string
		framing      Framing
	}{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", FramingLength},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", FramingLength},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", FramingChunks},
		{"GET", "HTTP/1.1 200 OK\r\n", FramingConnection},
		{"GET", "HTTP/1.1 500 Internal Server Error\r\n", FramingConnection},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", FramingConnection},
		{"GET", "HTTP/1.0 200 OK\r\n", FramingConnection},
		{"GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", FramingConnection},
		{"GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", FramingConnection},
		{"GET", "HTTP/1.1 204 No Content\r\n", FramingNoBody},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n", FramingNoBody},
		{"HEAD", "HTTP/1.1 200 OK\r\n", FramingNoBody},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", FramingNoBody},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", FramingNoBody},
	} {
		g := NewWithT(t)
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(each.head+"\r\n")), &http.Request{Method: each.method})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(FramingOf(each.method, response)).To(Equal(each.framing), "%s %q", each.method, each.head)
	}
}

// Guards against a claim that is stronger than the framing.
func TestEndingClaimsNoMoreThanFraming(t *testing.T) {
	g := NewWithT(t)
	for _, framing := range []Framing{FramingConnection, FramingLength, FramingChunks, FramingNoBody} {
		g.Expect(framing.EndingAt(true)).To(Equal(EndingBroken))
		g.Expect(framing.EndingAt(false) == EndingProven).To(Equal(framing != FramingConnection), framing.String())
	}
	g.Expect(Ending(0).MayBeWhole()).To(BeFalse())
}

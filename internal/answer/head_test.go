package answer

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// Guards against a status or a name that passes although the protocol does not have it, and against one that
// is refused although it does.
func TestCheckHeadOfEachStatusAndByte(t *testing.T) {
	g := NewWithT(t)
	for status := range 1000 {
		err := CheckHead(fmt.Appendf(nil, "HTTP/1.1 %03d X\r\n\r\n", status))
		g.Expect(err == nil).To(Equal(status >= 100 && status < 600), "status %03d", status)
		if err != nil {
			g.Expect(err).To(MatchError(ErrMalformedHead))
		}
	}
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for char := range 256 {
		head := append([]byte("HTTP/1.1 200 OK\r\nA"), byte(char))
		err := CheckHead(append(head, "B: x\r\n\r\n"...))
		isSeparator := char == ':'
		g.Expect(err == nil).To(Equal(isSeparator || strings.IndexByte(tokenBytes, byte(char)) >= 0), "byte %#02x", char)
	}
}

// Guards against a response of a client of net/http that passes although its head is malformed.
func TestCheckResponse(t *testing.T) {
	for _, each := range []struct {
		head    string
		isSound bool
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\n", true},
		{"HTTP/1.0 503 Busy\r\n", true},
		{"HTTP/1.1 000 X\r\n", false},
		{"HTTP/1.1 600 X\r\n", false},
		{"HTTP/2.0 200 OK\r\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", false},
		{"HTTP/1.1 503 Busy\r\nA B: c\r\n", false},
	} {
		g := NewWithT(t)
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(each.head+"\r\n")), nil)
		g.Expect(err).NotTo(HaveOccurred())
		if err := CheckResponse(response); each.isSound {
			g.Expect(err).NotTo(HaveOccurred(), each.head)
		} else {
			g.Expect(err).To(MatchError(ErrMalformedHead), each.head)
		}
	}
}

// Guards against a head that is searched wrongly where it comes in pieces, or is larger than the buffer.
func TestReaderFindsHeads(t *testing.T) {
	for _, lineEnd := range []string{"\r\n", "\n"} {
		g := NewWithT(t)
		long := strings.Repeat("A: "+strings.Repeat("x", 50)+lineEnd, 20)
		text := "HTTP/1.1 200 OK" + lineEnd + long + "Content-Length: 3" + lineEnd + lineEnd + "abc" + "HTTP/1.1 204 No Content" + lineEnd + lineEnd
		reader := NewReader(iotest.OneByteReader(strings.NewReader(text)), 32)
		first, err := reader.ReadResponse(nil)
		g.Expect(err).NotTo(HaveOccurred())
		body := make([]byte, 4)
		count, _ := bufio.NewReader(first.Body).Read(body)
		g.Expect(string(body[:count])).To(HavePrefix("a"))
		for err == nil {
			_, err = first.Body.Read(body)
		}
		reader.Shrink()
		g.Expect(reader.Size()).To(Equal(32))
		second, err := reader.ReadResponse(nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.StatusCode).To(Equal(http.StatusNoContent))
	}
}

// Guards against heads that pass and that a server can't send on, and against panics.
func FuzzCheckHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HTTP/1.0 200\n\n", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\x00: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "\r\n\r\n", "",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		response, err := NewReader(bytes.NewReader(text), 64).ReadResponse(nil)
		if err != nil {
			return
		}
		if err := CheckResponse(response); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		writer := httptest.NewRecorder()
		if response.StatusCode >= http.StatusOK {
			writer.WriteHeader(response.StatusCode) // panics on a status that is none
		}
		for name, values := range response.Header {
			if http.CanonicalHeaderKey(name) != name {
				t.Fatalf("%q: name %q", text, name)
			}
			if strings.ContainsAny(strings.Join(values, ""), "\x00\r\n") {
				t.Fatalf("%q: value %q", text, values)
			}
		}
	})
}

package answer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// answerWith answers each request, whose head has been read, with the text, and resets the connection if the
// flag is set. It returns the URL.
func answerWith(t *testing.T, text string, resets bool) string {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(connection, 16)); err == nil {
				_, _ = io.WriteString(connection, text)
			}
			if resets {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			_ = connection.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a body of a client of net/http that looks whole though its connection was reset.
func TestTransportReportsResetsDuringTheUpload(t *testing.T) {
	g := NewWithT(t)
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for _, text := range []string{"HTTP/1.1 503 Busy\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nsome text"} {
		url := answerWith(t, text, true)
		const repetitions = 100 // what the writer and the reader are told is a race
		for range repetitions {
			response, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", 1<<20)))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			g.Expect(err).To(HaveOccurred(), text)
		}
	}
}

// Guards against a response whose head is malformed, and against a connection that is used again after it.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	g := NewWithT(t)
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	_, err := client.Get(answerWith(t, "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n", false))
	g.Expect(err).To(MatchError(ErrMalformedHead))
	response, err := client.Get(answerWith(t, "HTTP/1.1 200 OK\r\nA: c\r\nContent-Length: 0\r\n\r\n", false))
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
}

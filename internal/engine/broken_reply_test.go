package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/answer"
)

// rawAdministration answers each call, whose head has been read, by the function, and then closes the
// connection. It returns a client of this engine.
func rawAdministration(reply func(*net.TCPConn)) *client {
	GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				if _, err := http.ReadRequest(bufio.NewReaderSize(connection, 16)); err == nil {
					reply(connection.(*net.TCPConn))
				}
			}()
		}
	}()
	const callTimeout = 20 * time.Second
	return &client{http: newHTTPClient(Settings{CallTimeout: callTimeout}), name: "e", address: "http://" + listener.Addr().String(), timeout: callTimeout}
}

var _ = Describe("an engine's administration whose reply is broken", func() {
	programs := strings.Split(strings.Repeat("program-with-a-name ", 50_000), " ")

	// Guards against an order that is taken for carried out though the engine has reset the connection.
	It("has not carried out a call that it resets while the call is sent", func(ctx SpecContext) {
		administration := rawAdministration(func(connection *net.TCPConn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n")
			_ = connection.SetLinger(0)
		})
		const repetitions = 30 // what the writer and the reader are told is a race
		for range repetitions {
			Expect(administration.release(ctx, programs)).NotTo(Succeed())
		}
	})

	// Guards against claims of a head that is none.
	DescribeTable("in its head has not carried out a call", func(ctx SpecContext, head string) {
		administration := rawAdministration(func(connection *net.TCPConn) {
			_, _ = io.WriteString(connection, head+"Content-Length: 2\r\n\r\n{}")
			_, _ = io.Copy(io.Discard, connection)
		})
		Expect(administration.release(ctx, []string{"p"})).To(MatchError(answer.ErrMalformedHead))
	},
		Entry("status 000", "HTTP/1.1 000 X\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n"),
	)

	// Guards against a daemon whose memory is used up by one engine, or that takes a part for the whole.
	DescribeTable("without end has not carried out a call", func(ctx SpecContext, start, filler string) {
		closed := make(chan struct{}, 2)
		administration := rawAdministration(func(connection *net.TCPConn) {
			text := start
			for err := error(nil); err == nil; {
				_, err = io.WriteString(connection, text)
				text = filler
			}
			closed <- struct{}{}
		})
		_, err := administration.getState(ctx)
		Expect(err).To(HaveOccurred())
		Eventually(closed).WithTimeout(administration.timeout).Should(Receive())
		Expect(administration.release(ctx, []string{"p"})).NotTo(Succeed())
		Eventually(closed).WithTimeout(administration.timeout).Should(Receive())
	},
		Entry("noise", "", strings.Repeat("x", 4<<10)),
		Entry("one header", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4<<10)),
		Entry("many headers", "HTTP/1.1 200 OK\r\n", "A: "+strings.Repeat("x", 4<<10)+"\r\n"),
		Entry("informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("a body", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(" ", 4<<10)),
		Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat(" ", 4<<10)+"\r\n"),
	)
})

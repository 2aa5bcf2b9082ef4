package server

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/writebehind"
)

var _ = Describe("front", func() {
	var served *callerServer
	var address string

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "x") })
		served = newCallerServer(listener, handler, nil, ingress.NewGroup(nil, zap.NewNop()), 0, log.New(io.Discard, "", 0))
		DeferCleanup(func(ctx SpecContext) { _ = served.Stop(ctx) })
	})

	dial := func() net.Conn {
		GinkgoHelper()
		connection, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		return connection
	}
	// ask sends a request with a header of about the given size in bytes and reads the
	// whole response. The body of the response that it returns is closed.
	ask := func(connection net.Conn, size int) *http.Response {
		GinkgoHelper()
		_, err := fmt.Fprintf(connection, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", size))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		return response
	}

	It("applies new limits to new connections only", func() {
		const large = 12 << 10
		open := dial()
		Expect(ask(open, large).StatusCode).To(Equal(200))
		served.SetLimits(routetable.Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		Expect(ask(dial(), large).StatusCode).To(Equal(431))
		Expect(ask(dial(), 10).StatusCode).To(Equal(200))
		Expect(ask(open, large).StatusCode).To(Equal(200))
	})

	// Guards against requests that are answered without a route, a key and a stamp.
	It("passes a request about the whole server to its handler", func() {
		connection := dial()
		_, err := io.WriteString(connection, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(string(content)).To(Equal("x"))
	})

	// Guards against connections that stay open as long as their callers wish, because nobody reads their bodies.
	It("answers a request whose body it does not read, and closes the connection if the rest does not come", func() {
		connection := dial()
		_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		Expect(connection.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue())
	})

	It("uses a connection again after a body that it does not read", func() {
		connection := dial()
		for range 2 {
			_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Close).To(BeFalse())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("answers a request that is being read when it stops", func() {
		open := dial()
		Expect(ask(open, 10).Close).To(BeFalse())
		_, err := io.WriteString(open, "GET / HTTP/1.1\r\nHost: h\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(served.connections.countBegun).Should(Equal(1))
		served.CloseIdle()
		_, err = io.WriteString(open, "\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(open), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue())
		Expect(response.Body.Close()).To(Succeed())
	})

	It("closes connections while callers are diverted to other daemons, and keeps them open afterwards", func() {
		idle, busy := dial(), dial()
		Expect(ask(idle, 10).Close).To(BeFalse())
		Expect(ask(busy, 10).Close).To(BeFalse())
		_, err := io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(served.connections.countBegun).Should(Equal(1))
		served.SetDiverting(true)
		_, err = idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		_, err = io.WriteString(busy, "\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(busy), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
		Expect(response.Body.Close()).To(Succeed())
		served.SetDiverting(false)
		Expect(ask(dial(), 10).Close).To(BeFalse())
	})

	It("stops only after callers have read the responses that are buffered for them", func(ctx SpecContext) {
		const responseBytes = 16 << 20 // more than the kernel's buffers hold
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, responseBytes)) })
		account := memory.NewAccount(4 * responseBytes)
		buffers := writebehind.NewGroup(writebehind.Options{Account: account, StallTimeout: time.Hour, MaxWriteWait: time.Hour})
		buffered := newCallerServer(listener, handler, buffers, ingress.NewGroup(nil, zap.NewNop()), 0, log.New(io.Discard, "", 0))
		caller, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer caller.Close()
		_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(account.Held).Should(BeNumerically(">", responseBytes/2))
		stopped := make(chan error, 1)
		go func() { stopped <- buffered.Stop(ctx) }()
		Consistently(stopped).ShouldNot(Receive())
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		Expect(err).NotTo(HaveOccurred())
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(HaveLen(responseBytes))
		Expect(response.Body.Close()).To(Succeed())
		Eventually(stopped).Should(Receive(BeNil()))
		Expect(account.Held()).To(BeZero())
	})

	It("does not deliver bytes that arrive on a retired connection", func() {
		near, far := net.Pipe()
		connection := &callerConnection{Conn: near}
		read := make(chan error, 1)
		go func() {
			_, err := connection.Read(make([]byte, 8))
			read <- err
		}()
		connection.retire()
		Eventually(read).Should(Receive(HaveOccurred()))
		Expect(far.Close()).To(Succeed())
	})

	It("closes connections after CloseIdle, whatever limits they were accepted with", func() {
		old := dial()
		Expect(ask(old, 10).Close).To(BeFalse())
		served.SetLimits(routetable.Limits{HeaderBytes: 1 << 12, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		served.CloseIdle()
		_, err := old.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF), "an idle connection must be closed")
		Expect(ask(dial(), 10).Close).To(BeTrue())
	})
})

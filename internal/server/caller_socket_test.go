package server

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/writebehind"
)

var _ = Describe("an answer that ends with its connection", func() {
	const answerBytes = 8 << 20 // more than the buffers of both sockets
	var breaksOff bool
	var buffers *writebehind.Group
	content := bytes.Repeat([]byte("0123456789abcdef"), answerBytes/16)

	BeforeEach(func() { breaksOff, buffers = false, nil })

	// open starts a server and sends a request of HTTP/1.0, which is followed by the input.
	open := func(input string) net.Conn {
		GinkgoHelper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if _, err := writer.Write(content); err != nil || breaksOff {
				panic(http.ErrAbortHandler)
			}
		})
		served := newCallerServer(listener, handler, buffers, ingress.NewGroup(nil, zap.NewNop()), 0, log.New(io.Discard, "", 0))
		DeferCleanup(func(ctx SpecContext) { _ = served.Stop(ctx) })
		connection, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		Expect(connection.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
		_, err = io.WriteString(connection, "GET / HTTP/1.0\r\n\r\n"+input)
		Expect(err).NotTo(HaveOccurred())
		return connection
	}

	// Guards against a whole answer whose end is lost in a reset because the caller has sent more.
	It("arrives whole though the caller has sent bytes that nobody reads", func() {
		received, err := io.ReadAll(open("GET / HTTP/1.0\r\n\r\nand more"))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.HasSuffix(received, content)).To(BeTrue())
	})

	// Guards against an answer that is taken for complete while its end is still buffered.
	It("arrives whole at a caller that reads late, out of a buffer", func() {
		const enough = 4 * answerBytes
		buffers = writebehind.NewGroup(writebehind.Options{Account: memory.NewAccount(enough), StallTimeout: time.Minute, MaxWriteWait: time.Minute})
		connection := open("")
		head := make([]byte, 1)
		_, err := io.ReadFull(connection, head)
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(connection)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.HasSuffix(received, content)).To(BeTrue())
	})

	// Guards against an answer that was given up and ends for its caller like a whole one.
	It("is reset if the handler gives it up", func() {
		breaksOff = true
		_, err := io.ReadAll(open(""))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})

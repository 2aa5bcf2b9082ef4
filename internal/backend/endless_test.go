package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessServer sends the start and then the filler again and again until the connection is closed, which
// closes the channel.
func endlessServer(start, filler string, pauseBetween time.Duration) (server *rawServer, written *atomic.Int64, closed chan struct{}) {
	GinkgoHelper()
	written, closed = &atomic.Int64{}, make(chan struct{})
	server = newRawServer(func(_ int64, id string, connection net.Conn) bool {
		text := strings.ReplaceAll(start, "ID", id)
		for {
			count, err := io.WriteString(connection, text)
			written.Add(int64(count))
			if err != nil {
				close(closed)
				return false
			}
			text = filler
			time.Sleep(pauseBetween)
		}
	})
	return server, written, closed
}

var _ = Describe("Exchange with an instance that sends bytes without end", func() {
	// maxSocketBytes is more than the sockets of both sides hold.
	const maxSocketBytes = 32 << 20
	filler := strings.Repeat("x", 4<<10)

	// Guards against a daemon that runs out of memory, or waits until the deadline, for a head that never ends.
	DescribeTable("gives up a head", func(ctx SpecContext, start, filler string) {
		server, written, closed := endlessServer(start, filler, 0)
		_, err := send(ctx, server.instance(), "1")
		var lost *LostError
		Expect(errors.As(err, &lost)).To(BeTrue(), "the request may have run")
		Expect(err).To(MatchError(ContainSubstring(errHeadTooLarge.Error())))
		Eventually(closed).Should(BeClosed())
		Expect(written.Load()).To(BeNumerically("<", maxSocketBytes))
	},
		Entry("without a line", "", filler),
		Entry("of one header", "HTTP/1.1 200 OK\r\nId: ID\r\nA: ", filler),
		Entry("of many headers", "HTTP/1.1 200 OK\r\nId: ID\r\n", "A: "+filler+"\r\n"),
		Entry("of informational responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
	)

	// Guards against a request that waits for the end of a rejection instead of being sent on.
	DescribeTable("gives up the body of a rejection", func(ctx SpecContext, head string, pauseBetween time.Duration) {
		server, written, closed := endlessServer("HTTP/1.1 503 Service Unavailable\r\nId: ID\r\n"+head+"\r\n", "1\r\nx\r\n", pauseBetween)
		reply, err := server.instance().Exchange(ctx, &OutgoingRequest{
			Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, MatchesResponse: func(http.Header) bool { return true },
		})
		Expect(err).NotTo(HaveOccurred())
		reply.Drain()
		Eventually(closed).Should(BeClosed())
		Expect(written.Load()).To(BeNumerically("<", maxSocketBytes))
	},
		Entry("in chunks", "Transfer-Encoding: chunked\r\n", time.Duration(0)),
		Entry("in chunks that come slowly", "Transfer-Encoding: chunked\r\n", 5*time.Millisecond),
		Entry("that ends with its connection", "", time.Duration(0)),
		Entry("that ends with its connection and comes slowly", "", 5*time.Millisecond),
	)

	It("uses a connection again after a rejection whose body is read", func(ctx SpecContext) {
		server := newRawServer(func(_ int64, id string, connection net.Conn) bool {
			_, err := io.WriteString(connection, responseText(id, "full"))
			return err == nil
		})
		instance := server.instance()
		for range 3 {
			reply, err := instance.Exchange(ctx, &OutgoingRequest{
				Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, MatchesResponse: func(http.Header) bool { return true },
			})
			Expect(err).NotTo(HaveOccurred())
			reply.Drain()
		}
		Expect(server.connections.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a body without end that goes on after its request was given up.
	It("closes the connection of a body when the request ends", func(ctx SpecContext) {
		server, _, closed := endlessServer("HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", filler, 0)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := send(short, server.instance(), "1")
		Expect(err).To(HaveOccurred())
		Eventually(closed).Should(BeClosed())
	})
})

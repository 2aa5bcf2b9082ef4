package peer_test

import (
	"io"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/peer"
)

// Guards against a daemon whose memory is used up by what another one sends.
var _ = DescribeTable("a daemon that sends bytes without end has not answered", func(start, filler string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	closed := make(chan struct{}, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		received, piece := "", make([]byte, 1)
		for !strings.Contains(received, "Echo.Repeat") { // the preamble comes before the call
			if _, err := connection.Read(piece); err != nil {
				return
			}
			received += string(piece)
		}
		_, err = io.WriteString(connection, start)
		for err == nil {
			_, err = io.WriteString(connection, filler)
		}
		closed <- struct{}{}
	}()
	pool := newPool(peer.Options{MaxMessageBytes: 1 << 20})
	err = pool.Call(newContext(testDeadline), listener.Addr().String(), peer.ClassData, "Echo.Repeat", Message{}, new(Message))
	Expect(err).To(HaveOccurred())
	Expect(err).NotTo(MatchError(peer.ErrNotSent))
	Eventually(closed, testDeadline).Should(Receive(), "the connection is closed")
},
	Entry("noise", "", strings.Repeat("x", 4<<10)),
	Entry("one message", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", strings.Repeat("x", 4<<10)),
	Entry("empty messages", "", strings.Repeat("\x00", 4<<10)),
)

// Guards against the same from a daemon that calls.
var _ = DescribeTable("a daemon that calls with bytes without end is cut off", func(start, filler string) {
	server, _ := startServer(peer.Options{MaxMessageBytes: 1 << 20})
	connection, err := net.Dial("tcp4", server.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(connection.Close)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, err := io.WriteString(connection, start)
		for err == nil {
			_, err = io.WriteString(connection, filler)
		}
	}()
	Eventually(closed, testDeadline).Should(BeClosed())
	Expect(newPool(peer.Options{}).Call(newContext(testDeadline), server.Address(), peer.ClassLog, "Echo.Repeat", Message{}, new(Message))).To(Succeed())
},
	Entry("noise", "", strings.Repeat("x", 4<<10)),
	Entry("one message", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", strings.Repeat("x", 4<<10)),
)

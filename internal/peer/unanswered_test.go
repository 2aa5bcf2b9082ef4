package peer_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/peer"
)

var _ = Describe("Connections that were used in a cut", func() {
	It("are left at its end, though no call on them lasted long", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		accepted := make(chan net.Conn, 4)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				accepted <- conn // read by nobody, answered by nobody
			}
		}()
		pool := newPool(peer.Options{})
		call := func() error {
			return pool.Call(within(50*time.Millisecond), listener.Addr().String(), peer.Control, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Eventually(accepted, testDeadline).Should(Receive())
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Expect(accepted).NotTo(Receive(), "a short call does not retire it")
		pool.RetireUnanswered(listener.Addr().String(), time.Millisecond)
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Eventually(accepted, testDeadline).Should(Receive())
	})

	It("are kept where they brought the reply of their last use", func() {
		server, _ := start(peer.Options{})
		pool := newPool(peer.Options{})
		call := func() error {
			return pool.Call(within(testDeadline), server.Address(), peer.Control, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call()).To(Succeed())
		pool.RetireUnanswered(server.Address(), 0)
		pool.RetireUnanswered("another address", 0)
		Expect(call()).To(Succeed())
		Expect(pool.Stats().Connections).To(Equal(1))
	})
})

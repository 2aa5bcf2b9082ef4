package peer_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/peer"
)

var _ = Describe("Connections used during a network partition", func() {
	It("are replaced when it ends, although no call on them was long", func() {
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
				accepted <- conn // never read or answered
			}
		}()
		pool := newPool(peer.Options{})
		call := func() error {
			return pool.Call(newContext(50*time.Millisecond), listener.Addr().String(), peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Eventually(accepted, testDeadline).Should(Receive())
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Expect(accepted).NotTo(Receive(), "a short call must not retire the connection")
		pool.RetireUnanswered(listener.Addr().String(), time.Millisecond)
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Eventually(accepted, testDeadline).Should(Receive())
	})

	It("are retained if a reply has arrived since their last use", func() {
		server, _ := startServer(peer.Options{})
		pool := newPool(peer.Options{})
		call := func() error {
			return pool.Call(newContext(testDeadline), server.Address(), peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call()).To(Succeed())
		pool.RetireUnanswered(server.Address(), 0)
		pool.RetireUnanswered("another address", 0)
		Expect(call()).To(Succeed())
		Expect(pool.Stats().Connections).To(Equal(1))
	})
})

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

// silentPeer accepts connections and never answers on them.
func silentPeer() (address string, accepted chan net.Conn) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	accepted = make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener.Addr().String(), accepted
}

var _ = Describe("Connections that have gone silent", func() {
	// Guards against a silent connection that is used for good because each call on it is short.
	It("are replaced after short calls in series", func() {
		address, accepted := silentPeer()
		pool := newPool(peer.Options{})
		Eventually(func() int {
			err := pool.Call(newContext(50*time.Millisecond), address, peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
			Expect(err).To(MatchError(context.DeadlineExceeded))
			return len(accepted)
		}, testDeadline).Should(Equal(2))
	})

	// Guards against calls of another class that each time out on a connection of the same age.
	It("are replaced together with those of other classes to the address", func() {
		address, accepted := silentPeer()
		pool := newPool(peer.Options{})
		call := func(class peer.Class, timeout time.Duration) {
			GinkgoHelper()
			Expect(pool.Call(newContext(timeout), address, class, "Echo.Repeat", Message{}, new(Message))).To(MatchError(context.DeadlineExceeded))
		}
		call(peer.ClassLog, 50*time.Millisecond)
		call(peer.ClassData, 600*time.Millisecond)
		Eventually(accepted, testDeadline).Should(HaveLen(2))
		call(peer.ClassLog, 50*time.Millisecond)
		Eventually(accepted, testDeadline).Should(HaveLen(3))
	})

	// Guards against storms of dials at a peer that only answers late: its connection is kept while replies
	// arrive.
	It("are told from those on which late replies arrive", func() {
		server, service := startServer(peer.Options{})
		pool := newPool(peer.Options{})
		const maxUnsuspectedTime = 500 * time.Millisecond
		stalls := 0 // of the machine, which count as silences
		for range 20 {
			start := time.Now()
			err := pool.Call(newContext(20*time.Millisecond), server.Address(), peer.ClassControl, "Echo.Block", Message{}, new(Message))
			Expect(err).To(MatchError(context.DeadlineExceeded))
			if time.Since(start) >= maxUnsuspectedTime {
				stalls++
			}
			Eventually(service.entered).Should(Receive())
			received := pool.Stats().ClassTraffic(peer.ClassControl).MessagesReceived
			service.release <- struct{}{}
			Eventually(func() uint64 { return pool.Stats().ClassTraffic(peer.ClassControl).MessagesReceived }).Should(BeNumerically(">", received))
		}
		Expect(server.Stats().Connections).To(BeNumerically("<=", 1+stalls))
	})
})

package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer Suite")
}

const testDeadline = 10 * time.Second

// echo is an RPC service whose methods return the content of their arguments.
type echo struct {
	entered chan struct{} // receives an element when Block is called
	release chan struct{} // Block returns when it is closed
}

type Message struct{ Content []byte }

func (e *echo) Repeat(arguments Message, reply *Message) error {
	reply.Content = arguments.Content
	return nil
}

func (e *echo) Block(arguments Message, reply *Message) error {
	e.entered <- struct{}{}
	<-e.release
	reply.Content = arguments.Content
	return nil
}

func (e *echo) Fail(arguments Message, _ *Message) error {
	return errors.New(string(arguments.Content))
}

func startServer(options peer.Options) (*peer.Server, *echo) {
	server, err := peer.Listen("127.0.0.1:0", options)
	Expect(err).NotTo(HaveOccurred())
	service := &echo{entered: make(chan struct{}, 16), release: make(chan struct{})}
	Expect(server.Register("Echo", service)).To(Succeed())
	DeferCleanup(func() { Expect(server.Close()).To(Succeed()) })
	return server, service
}

func newPool(options peer.Options) *peer.Pool {
	pool := peer.NewPool(options)
	DeferCleanup(pool.Close)
	return pool
}

func newContext(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	DeferCleanup(cancel)
	return ctx
}

var _ = Describe("Calls between daemons", func() {
	It("carries requests, replies and remote errors, and counts them by class and service", func() {
		server, _ := startServer(peer.Options{})
		registry := prometheus.NewRegistry()
		pool := newPool(peer.Options{Registerer: registry})
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() {
				defer GinkgoRecover()
				var reply Message
				Expect(pool.Call(newContext(testDeadline), server.Address(), peer.ClassLog, "Echo.Repeat", Message{[]byte("hello")}, &reply)).To(Succeed())
				Expect(string(reply.Content)).To(Equal("hello"))
			})
		}
		callers.Wait()
		err := pool.Call(newContext(testDeadline), server.Address(), peer.ClassControl, "Echo.Fail", Message{[]byte("no")}, new(Message))
		var remote rpc.ServerError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(err).NotTo(MatchError(peer.ErrNotSent))
		Expect(err).To(MatchError(ContainSubstring(server.Address())))
		stats := pool.Stats()
		Expect(stats.Connections).To(Equal(2))
		Expect(stats.ClassTraffic(peer.ClassLog).MessagesSent).To(BeEquivalentTo(20))
		Expect(stats.ClassTraffic(peer.ClassLog).MessagesReceived).To(BeEquivalentTo(20))
		Expect(server.Stats().ClassTraffic(peer.ClassLog).BytesReceived).To(Equal(stats.ClassTraffic(peer.ClassLog).BytesSent))
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).NotTo(BeEmpty())
	})

	It("never writes a late reply into the caller's value", func() {
		server, service := startServer(peer.Options{})
		pool := newPool(peer.Options{})
		ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
		reply := Message{Content: []byte("untouched")}
		failed := make(chan error, 1)
		go func() {
			failed <- pool.Call(ctx, server.Address(), peer.ClassData, "Echo.Block", Message{[]byte("late")}, &reply)
		}()
		Eventually(service.entered).Should(Receive())
		cancel()
		Expect(<-failed).To(MatchError(context.Canceled))
		close(service.release)
		var next Message
		Expect(pool.Call(newContext(testDeadline), server.Address(), peer.ClassData, "Echo.Repeat", Message{[]byte("next")}, &next)).To(Succeed())
		Eventually(func() uint64 { return pool.Stats().ClassTraffic(peer.ClassData).MessagesReceived }).Should(BeEquivalentTo(2))
		Expect(string(reply.Content)).To(Equal("untouched"))
		Expect(string(next.Content)).To(Equal("next"))
	})

	It("returns ErrNotSent after a failed dial, and ErrBackoff until the next dial is due", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		pool := newPool(peer.Options{BackoffInitial: time.Hour, BackoffMax: time.Hour})
		Expect(pool.Call(context.Background(), address, peer.ClassControl, "Echo.Repeat", Message{}, new(Message))).To(MatchError(peer.ErrNoDeadline))
		err = pool.Call(newContext(testDeadline), address, peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
		Expect(err).To(MatchError(peer.ErrNotSent))
		err = pool.Call(newContext(testDeadline), address, peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
		Expect(err).To(MatchError(peer.ErrBackoff))
		Expect(err).To(MatchError(ContainSubstring("dial")))
	})

	It("reconnects after the peer has restarted", func() {
		server, _ := startServer(peer.Options{})
		pool := newPool(peer.Options{BackoffInitial: time.Millisecond})
		call := func() error {
			return pool.Call(newContext(testDeadline), server.Address(), peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call()).To(Succeed())
		Expect(server.Close()).To(Succeed())
		Eventually(call).Should(MatchError(peer.ErrNotSent))
		second, err := peer.Listen(server.Address(), peer.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(second.Close)
		Expect(second.Register("Echo", &echo{})).To(Succeed())
		Eventually(call).Should(Succeed())
	})

	It("waits for running calls when the server closes", func() {
		server, service := startServer(peer.Options{CloseTimeout: testDeadline})
		pool := newPool(peer.Options{})
		var reply Message
		ended := make(chan error, 1)
		go func() {
			ended <- pool.Call(newContext(testDeadline), server.Address(), peer.ClassData, "Echo.Block", Message{[]byte("whole")}, &reply)
		}()
		Eventually(service.entered).Should(Receive())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_ = server.Close()
		}()
		Consistently(closed, "50ms").ShouldNot(BeClosed())
		close(service.release)
		Expect(<-ended).To(Succeed())
		Expect(string(reply.Content)).To(Equal("whole"))
		Eventually(closed).Should(BeClosed())
	})

	It("rejects calls with ErrCongested when the peer does not read", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		pool := newPool(peer.Options{MaxQueuedBytes: 1 << 20})
		large := Message{make([]byte, 4<<20)}
		Eventually(func() error { // The first calls fill the network's buffers and the queue.
			return pool.Call(newContext(20*time.Millisecond), listener.Addr().String(), peer.ClassData, "Echo.Repeat", large, new(Message))
		}, testDeadline).Should(And(MatchError(peer.ErrCongested), MatchError(peer.ErrNotSent)))
	})

	It("replaces a connection on which no reply arrived during a whole call", func() {
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
			return pool.Call(newContext(600*time.Millisecond), listener.Addr().String(), peer.ClassControl, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Eventually(accepted, testDeadline).Should(Receive())
		Expect(call()).To(MatchError(context.DeadlineExceeded))
		Eventually(accepted, testDeadline).Should(Receive())
	})

	It("rejects messages over the limit, connections without the preamble, and connections over the limit", func() {
		server, _ := startServer(peer.Options{MaxMessageBytes: 1 << 10, MaxConnections: 2})
		pool := newPool(peer.Options{})
		err := pool.Call(newContext(testDeadline), server.Address(), peer.ClassData, "Echo.Repeat", Message{make([]byte, 1<<12)}, new(Message))
		Expect(err).To(HaveOccurred())
		small := newPool(peer.Options{MaxMessageBytes: 1 << 10})
		err = small.Call(newContext(testDeadline), server.Address(), peer.ClassData, "Echo.Repeat", Message{make([]byte, 1<<12)}, new(Message))
		Expect(err).To(MatchError(peer.ErrTooLarge))
		Expect(err).To(MatchError(peer.ErrNotSent))

		unrelated, err := net.Dial("tcp", server.Address())
		Expect(err).NotTo(HaveOccurred())
		_, err = unrelated.Write([]byte(strings.Repeat("x", 64)))
		Expect(err).NotTo(HaveOccurred())
		_, err = unrelated.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())

		Eventually(func() int { return server.Stats().Connections }).Should(BeZero())
		for range 2 {
			Expect(newPool(peer.Options{}).Call(newContext(testDeadline), server.Address(), peer.ClassLog, "Echo.Repeat", Message{}, new(Message))).To(Succeed())
		}
		Expect(newPool(peer.Options{}).Call(newContext(testDeadline), server.Address(), peer.ClassLog, "Echo.Repeat", Message{}, new(Message))).NotTo(Succeed())
	})
})

// Guards against silent connections that take the descriptors of a daemon.
var _ = It("closes the oldest connection without a preamble for a new one, and none of a daemon", func() {
	options := peer.Options{DialTimeout: time.Hour, MaxUnidentified: 2}
	server, err := peer.Listen("127.0.0.1:0", options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	dial := func(text string) net.Conn {
		GinkgoHelper()
		connection, err := net.Dial("tcp4", server.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		_, err = io.WriteString(connection, text)
		Expect(err).NotTo(HaveOccurred())
		return connection
	}
	identified := dial("thymeloft-peer/1\x00")
	Eventually(func() int { return server.Stats().Connections }).Should(BeEquivalentTo(1))
	first := dial("thy")
	Eventually(func() int { return server.Stats().Connections }).Should(BeEquivalentTo(2))
	for range 2 {
		dial("")
	}
	Expect(first.SetReadDeadline(time.Now().Add(testDeadline))).To(Succeed())
	_, err = first.Read(make([]byte, 1))
	Expect(err).To(HaveOccurred())
	Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded), "the connection must be closed")
	Expect(identified.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	_, err = identified.Read(make([]byte, 1))
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
})

package backend

import (
	"context"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// listen returns a listener and an instance at its address.
func listen() (net.Listener, *Instance) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	fleet := NewFleet(time.Now)
	fleet.Apply(Declaration{ID: "i", Service: "s", Address: listener.Addr().String(), Version: 1})
	return listener, fleet.Instances("s")[0]
}

// listenWithFullBacklog returns an address at which attempts to connect are not answered: the queue of a
// listener that accepts nothing is full.
func listenWithFullBacklog(ctx context.Context) string {
	GinkgoHelper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = syscall.Close(descriptor) })
	Expect(syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(descriptor, 0)).To(Succeed())
	bound, err := syscall.Getsockname(descriptor)
	Expect(err).NotTo(HaveOccurred())
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	const (
		maxConnections = 16
		timeout        = 200 * time.Millisecond
	)
	for range maxConnections {
		opened, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			return address
		}
		DeferCleanup(opened.Close)
	}
	Fail("the queue does not fill")
	return ""
}

var _ = Describe("CheckLiveness", func() {
	It("tells an instance whose process has ended", func(ctx SpecContext) {
		listener, instance := listen()
		Expect(listener.Close()).To(Succeed())
		Expect(instance.CheckLiveness(ctx)).To(Equal(LivenessEnded))
	})

	// Guards against an engine that counts as ended because it broke one connection.
	It("tells an instance that listens, and keeps the connection for requests", func(ctx SpecContext) {
		_, instance := listen()
		Expect(instance.CheckLiveness(ctx)).To(Equal(LivenessListening))
		kept, err := instance.pool.get(ctx, nil, time.Time{})
		Expect(err).NotTo(HaveOccurred())
		Expect(kept.idleSince).NotTo(BeZero(), "the connection is the one that was opened")
	})

	// Guards against a process that counts as running because its listener was closed last.
	It("tells that the process has ended if its listener closes after the other connections", func(ctx SpecContext) {
		listener, instance := listen()
		closing := make(chan struct{})
		go func() {
			defer close(closing)
			accepted, err := listener.Accept()
			if err == nil {
				_ = listener.Close()
				_ = accepted.Close()
			}
		}()
		Expect(instance.CheckLiveness(ctx)).To(Equal(LivenessEnded))
		Eventually(closing).Should(BeClosed())
	})

	It("tells an instance that closes new connections from one that ended", func(ctx SpecContext) {
		listener, instance := listen()
		go func() {
			for {
				accepted, err := listener.Accept()
				if err != nil {
					return
				}
				_ = accepted.Close()
			}
		}()
		Expect(instance.CheckLiveness(ctx)).To(Equal(LivenessListening))
	})

	// Guards against a machine that is gone or cut off and counts as one whose process has ended.
	It("tells an instance that does not answer from one that ended", func(ctx SpecContext) {
		address := listenWithFullBacklog(ctx)
		fleet := NewFleet(time.Now)
		fleet.Apply(Declaration{ID: "i", Service: "s", Address: address, Version: 1})
		Expect(fleet.Instances("s")[0].CheckLiveness(ctx)).To(Equal(LivenessSilent))
	})

	It("does not guess if the check was canceled", func(ctx SpecContext) {
		_, instance := listen()
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		Expect(instance.CheckLiveness(canceled)).To(Equal(LivenessUnknown))
	})
})

var _ = Describe("The connection of a check of liveness", func() {
	// Guards against a check that closes each connection which it has opened, as if bytes had come on it.
	It("carries the next request", func(ctx SpecContext) {
		server := newRawServer(func(_ int64, id string, connection net.Conn) bool {
			_, err := io.WriteString(connection, responseText(id, "x"))
			return err == nil
		})
		instance := server.instance()
		Expect(instance.CheckLiveness(ctx)).To(Equal(LivenessListening))
		Expect(send(ctx, instance, "1")).To(Equal("x"))
		Expect(server.connections.Load()).To(BeEquivalentTo(1))
	})
})

package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
)

func TestFaultProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "faultproxy")
}

// echo starts a server that sends every byte back, and returns its address.
func echo() string {
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
			go func() { _, _ = io.Copy(connection, connection); _ = connection.Close() }()
		}
	}()
	return listener.Addr().String()
}

// follow sends each byte that it reads to one channel, and the error that ends
// the connection to the other.
func follow(connection net.Conn, read chan<- byte, ended chan<- error) {
	var one [1]byte
	for {
		if _, err := connection.Read(one[:]); err != nil {
			ended <- err
			return
		}
		read <- one[0]
	}
}

var _ = Describe("Link", func() {
	var link *faultproxy.Link
	var connection net.Conn
	var read chan byte
	var ended chan error

	BeforeEach(func() {
		var err error
		link, err = faultproxy.Listen("127.0.0.1:0", echo())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		connection, err = net.Dial("tcp4", link.Address())
		Expect(err).NotTo(HaveOccurred())
		read, ended = make(chan byte, 16), make(chan error, 1)
		go follow(connection, read, ended)
	})

	send := func(text string) {
		GinkgoHelper()
		_, err := connection.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}

	It("forwards bytes and the end of a stream", func() {
		send("a")
		Eventually(read).Should(Receive(Equal(byte('a'))))
		Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
		Eventually(ended).Should(Receive(MatchError(io.EOF)))
	})

	DescribeTable("holds bytes back and loses none", func(condition faultproxy.Condition) {
		link.SetCondition(condition)
		send("b")
		Consistently(read, "30ms").ShouldNot(Receive())
		link.SetCondition(faultproxy.Condition{})
		Eventually(read).Should(Receive(Equal(byte('b'))))
	},
		Entry("requests", faultproxy.Condition{HoldRequests: true}),
		Entry("answers", faultproxy.Condition{HoldResponses: true}),
		Entry("both", faultproxy.Condition{HoldRequests: true, HoldResponses: true}),
	)

	It("silences open connections, tells neither side, and serves new ones", func() {
		send("d")
		Eventually(read).Should(Receive())
		Expect(link.SilenceConnections()).To(Equal(1))
		Expect(link.SilenceConnections()).To(BeZero())
		send("e")
		Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
		link.ResetConnections()
		Consistently(read, "30ms").ShouldNot(Receive())
		Expect(ended).NotTo(Receive())
		again, err := net.Dial("tcp4", link.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(again.Close)
		_, err = again.Write([]byte("f"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(again, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	})

	It("resets open connections, and new ones while it refuses them", func() {
		send("c")
		Eventually(read).Should(Receive())
		link.SetCondition(faultproxy.Condition{Refuse: true})
		link.ResetConnections()
		Eventually(ended).Should(Receive(Not(MatchError(io.EOF))))
		again, err := net.Dial("tcp4", link.Address())
		if err == nil {
			_, err = again.Read(make([]byte, 1))
		}
		Expect(err).To(HaveOccurred())
	})
})

package network_test

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/network"
)

func TestNetwork(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "network")
}

// echo starts a server that sends every line back, and returns its address.
func echo() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				lines := bufio.NewScanner(connection)
				for lines.Scan() {
					_, _ = connection.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("Network", func() {
	It("retains the address of a link that goes down and up while its URL is read", func() {
		testNetwork := network.New(network.Options{})
		DeferCleanup(testNetwork.Close)
		link, err := testNetwork.NewLink("127.0.0.1:0", echo(), "a")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Down)
		url := link.URL()
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			for range 1000 {
				_ = link.URL() // for the race detector
			}
		}()
		for range 5 {
			link.Down()
			Expect(link.Up()).To(Succeed())
		}
		<-reading
		Expect(link.URL()).To(Equal(url))
	})

	It("forwards bytes, holds them back while a zone is isolated, and delivers them afterwards", func() {
		testNetwork := network.New(network.Options{ZoneDelay: time.Millisecond})
		DeferCleanup(testNetwork.Close)
		testNetwork.Register(os.Getpid(), "here")
		link, err := testNetwork.NewLink("127.0.0.1:0", echo(), "there")
		Expect(err).NotTo(HaveOccurred())
		connection, err := net.Dial("tcp4", link.Address)
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		replies := make(chan string, 10)
		go func() {
			lines := bufio.NewScanner(connection)
			for lines.Scan() {
				replies <- lines.Text()
			}
			close(replies)
		}()
		say := func(text string) {
			_, err := connection.Write([]byte(text + "\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		say("before")
		Eventually(replies).Should(Receive(Equal("before")))
		testNetwork.Isolate("there")
		say("during")
		Consistently(replies, "100ms").ShouldNot(Receive())
		testNetwork.Heal("there")
		Eventually(replies).Should(Receive(Equal("during")))
		link.Down()
		Eventually(replies).Should(BeClosed())
		_, err = net.Dial("tcp4", link.Address)
		Expect(err).To(HaveOccurred())
		Expect(link.Up()).To(Succeed())
		again, err := net.Dial("tcp4", link.Address)
		Expect(err).NotTo(HaveOccurred())
		again.Close()
	})
})

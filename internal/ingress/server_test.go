package ingress

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// echo answers with the number of header fields, and the length of the body that it has read.
func echo(writer http.ResponseWriter, request *http.Request) {
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil || !FromContext(request.Context()).InputComplete() {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(writer, "%s %d %d", request.URL.Path, len(request.Header), length)
}

// serve starts a server behind a new door of the group, and returns the door and the address.
func serve(group *Group, options DoorOptions, handler http.HandlerFunc) (*Door, string, func()) {
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	door := group.NewDoor(options)
	server := &http.Server{
		Handler: handler, ConnState: door.OnStateChange, ConnContext: WithConn, ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(door.Listen(opened)) }()
	return door, opened.Addr().String(), func() { _ = server.Close() }
}

var _ = Describe("a door", func() {
	var door *Door
	var address string

	open := func(options DoorOptions, handler http.HandlerFunc) {
		group := NewGroup(zap.NewNop())
		var stop func()
		door, address, stop = serve(group, options, handler)
		DeferCleanup(stop)
	}
	// send opens a connection and sends the text.
	send := func(text string) net.Conn {
		GinkgoHelper()
		connection, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		_, err = io.WriteString(connection, text)
		Expect(err).NotTo(HaveOccurred())
		return connection
	}
	statusOf := func(connection net.Conn) int {
		GinkgoHelper()
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	isClosed := func(connection net.Conn) func() error {
		return func() error {
			Expect(connection.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
			_, err := connection.Read(make([]byte, 1))
			return err
		}
	}
	count := func(state connState) func() int {
		return func() int {
			door.mutex.Lock()
			defer door.mutex.Unlock()
			return door.lists[state].length
		}
	}
	const small = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const unfinished = "GET / HTTP/1.1\r\nHost: h\r\n"

	// Guards against idle connections that keep new clients out, or fill the memory.
	It("closes the longest idle connection for a new one", func() {
		open(DoorOptions{Name: "test", MaxConnections: 2}, echo)
		first := send(small)
		Expect(statusOf(first)).To(Equal(200))
		Eventually(count(stateIdle)).Should(Equal(1))
		second := send(small)
		Expect(statusOf(second)).To(Equal(200))
		Eventually(count(stateIdle)).Should(Equal(2))
		Expect(statusOf(send(small))).To(Equal(200))
		Expect(isClosed(first)()).To(MatchError(io.EOF))
		Expect(door.Open()).To(BeNumerically("<=", 2))
		_, err := io.WriteString(second, small)
		Expect(err).NotTo(HaveOccurred())
		Expect(statusOf(second)).To(Equal(200))
	})

	// Guards against a crowd with unfinished headers that displaces callers between their requests.
	It("closes a connection of the crowd for a new one, and keeps an idle one", func() {
		open(DoorOptions{Name: "test", MaxConnections: 4}, echo)
		idle := send(small)
		Expect(statusOf(idle)).To(Equal(200))
		var crowd []net.Conn
		for index := range 3 {
			crowd = append(crowd, send(unfinished))
			Eventually(count(stateHeader)).Should(Equal(index + 1))
		}
		Expect(statusOf(send(small))).To(Equal(200))
		Expect(isClosed(crowd[0])()).To(HaveOccurred())
		_, err := io.WriteString(idle, small)
		Expect(err).NotTo(HaveOccurred())
		Expect(statusOf(idle)).To(Equal(200))
	})

	// Guards against requests that are cut off in the middle of their work for new connections.
	It("closes a new connection if all others wait for answers", func() {
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		open(DoorOptions{Name: "test", MaxConnections: 2}, func(_ http.ResponseWriter, request *http.Request) {
			FromContext(request.Context()).InputComplete()
			<-hold
		})
		for range 2 {
			send(small)
		}
		Eventually(func() int { return door.Open() - count(stateHeader)() - count(stateInput)() }).Should(Equal(2))
		Expect(isClosed(send(""))()).To(HaveOccurred())
		Expect(door.refused.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a request that is ended for others although an engine may be running it.
	It("does not give up a request that was read completely, and refuses one that was given up", func() {
		results := make(chan bool, 2)
		evictFirst := false
		open(DoorOptions{Name: "test"}, func(_ http.ResponseWriter, request *http.Request) {
			caller := FromContext(request.Context())
			if evictFirst {
				Expect(caller.evict()).To(BeTrue())
				results <- caller.InputComplete()
				return
			}
			results <- caller.InputComplete()
			results <- caller.evict()
		})
		Expect(statusOf(send(small))).To(Equal(200))
		Expect(<-results).To(BeTrue())
		Expect(<-results).To(BeFalse())
		evictFirst = true
		send(small)
		Expect(<-results).To(BeFalse())
	})

})

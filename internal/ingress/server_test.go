package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/memory"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

const (
	testHeaderBytes   = 16 << 10
	testHeaderTimeout = time.Minute
	testTimeout       = 20 * time.Second // of a client
)

var _ = Describe("a limiter", func() {
	var group *Group
	var account *memory.Account
	var limiter *Limiter
	var address string

	open := func(options LimiterOptions, limit int64, handler http.HandlerFunc) {
		account = memory.NewAccount(limit)
		group = NewGroup(account, zap.NewNop())
		var stop func()
		limiter, address, stop = serve(group, options, handler)
		DeferCleanup(stop)
	}
	// send opens a connection and sends the text.
	send := func(text string) net.Conn {
		GinkgoHelper()
		connection, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
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
			_, err := connection.Read(make([]byte, 1))
			Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded), "the connection must be closed")
			return err
		}
	}
	expectRefused := func(connection net.Conn) {
		GinkgoHelper()
		Expect(statusOf(connection)).To(Equal(http.StatusServiceUnavailable))
		Expect(isClosed(connection)()).To(HaveOccurred())
	}
	count := func(state connState) func() int {
		return func() int {
			limiter.mutex.Lock()
			defer limiter.mutex.Unlock()
			return limiter.lists[state].length
		}
	}
	// admit opens a connection through the limiter that no server reads.
	admit := func(to *Limiter) (admitted *Conn, client net.Conn) {
		GinkgoHelper()
		opened, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = opened.Close() }()
		client, err = net.Dial("tcp4", opened.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		accepted, err := opened.Accept()
		Expect(err).NotTo(HaveOccurred())
		admitted = to.Admit(accepted, time.Minute, testHeaderBytes)
		DeferCleanup(admitted.Close)
		return admitted, client
	}
	const small = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const unfinished = "GET / HTTP/1.1\r\nHost: h\r\n"

	// Guards against idle connections that keep new clients out, or fill the memory.
	It("closes the longest idle connection for a new one", func() {
		open(LimiterOptions{Name: "test", MaxConnections: 2}, 1<<20, echo)
		first := send(small)
		Expect(statusOf(first)).To(Equal(200))
		Eventually(count(stateIdle)).Should(Equal(1))
		second := send(small)
		Expect(statusOf(second)).To(Equal(200))
		Eventually(count(stateIdle)).Should(Equal(2))
		Expect(statusOf(send(small))).To(Equal(200))
		Expect(isClosed(first)()).To(MatchError(io.EOF))
		Expect(limiter.Open()).To(BeNumerically("<=", 2))
		_, err := io.WriteString(second, small)
		Expect(err).NotTo(HaveOccurred())
		Expect(statusOf(second)).To(Equal(200))
	})

	// Guards against a crowd with unfinished headers that displaces callers between their requests.
	It("closes a connection of the crowd for a new one, and keeps an idle one", func() {
		open(LimiterOptions{Name: "test", MaxConnections: 4}, 1<<20, echo)
		idle := send(small)
		Expect(statusOf(idle)).To(Equal(200))
		var crowd []net.Conn
		for index := range 3 {
			crowd = append(crowd, send(unfinished))
			Eventually(count(stateHeader)).Should(Equal(index + 1))
		}
		Expect(statusOf(send(small))).To(Equal(200))
		expectRefused(crowd[0])
		_, err := io.WriteString(idle, small)
		Expect(err).NotTo(HaveOccurred())
		Expect(statusOf(idle)).To(Equal(200))
	})

	// Guards against a crowd with unfinished headers that keeps out callers which are slow to begin.
	It("closes a connection of the crowd for a new one, and keeps one on which nothing has arrived", func() {
		open(LimiterOptions{Name: "test", MaxConnections: 4}, 1<<20, echo)
		slow := send("")
		Eventually(count(stateNew)).Should(Equal(1))
		var crowd []net.Conn
		for index := range 3 {
			crowd = append(crowd, send(unfinished))
			Eventually(count(stateHeader)).Should(Equal(index + 1))
		}
		Expect(statusOf(send(small))).To(Equal(200))
		expectRefused(crowd[0])
		_, err := io.WriteString(slow, small)
		Expect(err).NotTo(HaveOccurred())
		Expect(statusOf(slow)).To(Equal(200))
	})

	// Guards against callers that are accepted in a burst and closed before anybody has read their requests.
	It("waits with a new connection until the one that is to give way was read", func() {
		open(LimiterOptions{Name: "test"}, 1<<20, echo)
		narrow := group.NewLimiter(LimiterOptions{Name: "narrow", MaxConnections: 1})
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		first := narrow.Admit(near, time.Minute, testHeaderBytes)
		admitted := make(chan *Conn, 1)
		go func() {
			further, _ := net.Pipe()
			admitted <- narrow.Admit(further, time.Minute, testHeaderBytes)
		}()
		Consistently(admitted, 3*minAge).ShouldNot(Receive())
		go func() { _, _ = first.Read(make([]byte, 1)) }()
		Eventually(admitted).Should(Receive(Not(BeNil())))
		Eventually(first.isEvicted).Should(BeTrue())
	})

	// Guards against ordinary requests that are cut off because a busy process has not read them yet.
	It("keeps a connection whose request has arrived and was not read", func() {
		open(LimiterOptions{Name: "test"}, 1<<20, echo)
		narrow := group.NewLimiter(LimiterOptions{Name: "narrow", MaxConnections: 1})
		first, client := admit(narrow)
		_, err := io.WriteString(client, small)
		Expect(err).NotTo(HaveOccurred())
		_, err = first.Conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		first.isReceiving.Store(true)
		admitted := make(chan *Conn, 1)
		go func() {
			further, _ := net.Pipe()
			admitted <- narrow.Admit(further, time.Minute, testHeaderBytes)
		}()
		Consistently(admitted, 3*minAge).ShouldNot(Receive())
		_, err = first.Conn.Read(make([]byte, len(small)))
		Expect(err).NotTo(HaveOccurred())
		Eventually(admitted).Should(Receive(Not(BeNil())))
		Expect(first.isEvicted()).To(BeTrue())
	})

	// Guards against clients that keep others out by bytes which no handler reads.
	It("doesn't keep a connection for longer because of unread bytes", func() {
		open(LimiterOptions{Name: "test"}, 1<<20, echo)
		first, client := admit(group.NewLimiter(LimiterOptions{Name: "narrow", MaxConnections: 1}))
		_, err := io.WriteString(client, small)
		Expect(err).NotTo(HaveOccurred())
		first.isReceiving.Store(true)
		entered := time.Now()
		Eventually(func() bool { return first.waitsForProcess(entered, entered) }).Should(BeTrue())
		Expect(first.waitsForProcess(entered, entered.Add(maxUnreadWait+1))).To(BeFalse())
		first.isBulk.Store(true)
		Expect(first.waitsForProcess(entered, entered)).To(BeFalse())
	})

	// Guards against ordinary requests that are given up for others because a busy process has not read them yet.
	It("doesn't give up a request for memory whose rest has arrived and was not read", func() {
		open(LimiterOptions{Name: "test"}, 64<<10, echo)
		behind, client := admit(limiter)
		Expect(behind.stage([]byte(unfinished))).To(Succeed())
		behind.isReceiving.Store(true)
		_, err := io.WriteString(client, "\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return hasUnread(behind) }).Should(BeTrue())
		reservation := account.NewReservation("other")
		defer reservation.Close()
		Expect(reservation.Grow(memory.Request, 30<<10)).To(Succeed())
		Expect(reservation.Grow(memory.Request, 1<<10)).NotTo(Succeed())
		Expect(behind.isEvicted()).To(BeFalse())
		_, err = behind.Conn.Read(make([]byte, 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(reservation.Grow(memory.Request, 1<<10)).To(Succeed())
		Expect(behind.isEvicted()).To(BeTrue())
	})

	// Guards against requests that are cut off in the middle of their work for new connections, and against
	// requests on new connections that end without an answer, after which a client can't tell whether they ran.
	It("refuses the request of a new connection if all others wait for answers", func() {
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		open(LimiterOptions{Name: "test", MaxConnections: 2}, 1<<20, func(_ http.ResponseWriter, request *http.Request) {
			FromContext(request.Context()).InputComplete()
			<-hold
		})
		for range 2 {
			send(small)
		}
		Eventually(func() int { return limiter.Open() - count(stateNew)() - count(stateInput)() }).Should(Equal(2))
		Expect(isClosed(send(""))()).To(HaveOccurred())
		Expect(limiter.refused.Load()).To(BeEquivalentTo(1))
		expectRefused(send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000)))
		Expect(limiter.refused.Load()).To(BeEquivalentTo(2))
		Eventually(limiter.refusing.Load).Should(BeZero())
	})

	// Guards against refusals that take memory and descriptors without a bound.
	It("refuses a bounded number of connections at the same time", func() {
		hold := make(chan struct{})
		open(LimiterOptions{Name: "test", MaxConnections: 1}, 1<<20, func(_ http.ResponseWriter, request *http.Request) {
			FromContext(request.Context()).InputComplete()
			<-hold
		})
		held := send(small)
		Eventually(func() int { return limiter.Open() - count(stateNew)() - count(stateInput)() }).Should(Equal(1))
		limiter.refusing.Add(maxRefusing)
		waiting := send(small)
		Consistently(limiter.refused.Load, minAge).Should(BeZero())
		close(hold)
		Expect(statusOf(held)).To(Equal(http.StatusOK))
		Expect(statusOf(waiting)).To(Equal(http.StatusOK), "it finds a place when another connection gives way")
		Expect(limiter.refusing.Load()).To(BeEquivalentTo(maxRefusing))
	})

	// Guards against memory that stays reserved for headers whose clients have left.
	It("releases what it has reserved for a header whose client leaves", func() {
		open(LimiterOptions{Name: "test"}, 1<<20, echo)
		leaving := send(unfinished + strings.Repeat("a:b\r\n", 1000))
		Eventually(account.Held).ShouldNot(BeZero())
		Expect(leaving.Close()).To(Succeed())
		Eventually(account.Held).Should(BeZero())
		Eventually(limiter.Open).Should(BeZero())
	})

	// Guards against headers whose fields take far more memory than their bytes.
	It("refuses a header whose fields do not fit into memory before it is parsed", func() {
		open(LimiterOptions{Name: "test"}, 200<<10, func(http.ResponseWriter, *http.Request) { panic("the request was parsed") })
		refused := send(unfinished + strings.Repeat("a:\r\n", 3000) + "\r\n")
		Expect(statusOf(refused)).To(Equal(503))
		Expect(isClosed(refused)()).To(HaveOccurred())
		Eventually(account.Held).Should(BeZero())
		Expect(group.refusedHeaders.Load()).To(BeEquivalentTo(1))
	})

	// Guards against headers that clients do not finish, for lack of which others find no memory.
	It("gives up a client that does not finish its header when others need the memory", func() {
		open(LimiterOptions{Name: "test"}, 64<<10, echo)
		slow := send(unfinished)
		Eventually(account.Held).ShouldNot(BeZero())
		reservation := account.NewReservation("other")
		defer reservation.Close()
		Expect(reservation.Grow(memory.Request, 31<<10)).To(Succeed())
		Expect(reservation.Grow(memory.Request, 1<<10)).To(Succeed())
		expectRefused(slow)
		Expect(limiter.evictedForMemory.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a request that is ended for others although an engine may be running it.
	It("does not give up a request that was read completely, and refuses one that was given up", func() {
		results := make(chan bool, 2)
		evictFirst := false
		open(LimiterOptions{Name: "test"}, 64<<10, func(_ http.ResponseWriter, request *http.Request) {
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

	// Guards against requests that are given up although their clients owe nothing, since a handler waits.
	It("doesn't give up a request for memory that nobody reads at the moment", func() {
		hold, arrived := make(chan struct{}), make(chan struct{})
		open(LimiterOptions{Name: "test"}, 64<<10, func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-hold
			echo(writer, request)
		})
		waiting := send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		<-arrived
		reservation := account.NewReservation("other")
		defer reservation.Close()
		Expect(reservation.Grow(memory.Request, 32<<10)).To(Succeed())
		Expect(reservation.Grow(memory.Request, 1<<10)).NotTo(Succeed())
		close(hold)
		Expect(statusOf(waiting)).To(Equal(http.StatusOK))
	})

	// Guards against requests that end without an answer since they were given up when their last byte had come.
	It("lets a request be refused that was given up when it had been read completely", func() {
		open(LimiterOptions{Name: "test"}, 1<<20, func(writer http.ResponseWriter, request *http.Request) {
			caller := FromContext(request.Context())
			Expect(caller.evict()).To(BeTrue())
			_, err := io.Copy(io.Discard, request.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(caller.InputComplete()).To(BeFalse())
			Consistently(request.Context().Done(), minAge).ShouldNot(BeClosed())
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		Expect(statusOf(send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against many large headers or bodies that keep the processor from ordinary requests.
	It("lets large headers, large bodies and requests sent ahead wait for a bulk slot, and others not", func() {
		open(LimiterOptions{Name: "test"}, 1<<20, echo)
		for range maxBulkSlots {
			group.bulkSlots <- struct{}{}
		}
		header := send(unfinished + strings.Repeat("a:\r\n", cheapFields+1) + "\r\n")
		Eventually(group.bulkWaits.Load).Should(BeEquivalentTo(1))
		body := send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 2*bulkBytes) + strings.Repeat("x", 2*bulkBytes))
		Eventually(group.bulkWaits.Load).Should(BeEquivalentTo(2))
		ahead := send(strings.Repeat(small, 3))
		Eventually(group.bulkWaits.Load).Should(BeEquivalentTo(3))
		Expect(statusOf(ahead)).To(Equal(200), "the first request is not sent ahead")
		Expect(statusOf(send(small))).To(Equal(200))
		Expect(statusOf(send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))).To(Equal(200))
		for range maxBulkSlots {
			<-group.bulkSlots
		}
		for _, each := range []net.Conn{header, body} {
			Expect(statusOf(each)).To(Equal(200))
		}
		Eventually(func() int { return len(group.bulkSlots) }).Should(BeZero())
	})

	// Guards against given-up clients that wait for the processor, and so take memory which nobody counts.
	It("lets clients that are given up, or whose time is over, wait for a bulk slot no longer", func() {
		open(LimiterOptions{Name: "test", MaxConnections: 1}, 1<<20, echo)
		for range maxBulkSlots {
			group.bulkSlots <- struct{}{}
		}
		body := send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 4*bulkBytes) + strings.Repeat("x", 2*bulkBytes))
		Eventually(group.bulkWaits.Load).Should(BeEquivalentTo(1))
		header := send(unfinished + strings.Repeat("a:\r\n", cheapFields+1) + "\r\n")
		Expect(isClosed(body)()).To(HaveOccurred())
		Eventually(group.bulkWaits.Load).Should(BeEquivalentTo(2))
		Expect(statusOf(send(small))).To(Equal(http.StatusOK))
		expectRefused(header)
		late, _ := admit(group.NewLimiter(LimiterOptions{Name: "late"}))
		Expect(late.SetReadDeadline(time.Now())).To(Succeed())
		Expect(late.takeBulkSlot()).To(MatchError(os.ErrDeadlineExceeded))
	})
})

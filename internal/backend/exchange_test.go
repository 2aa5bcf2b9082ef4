package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawServer answers each request on each connection by a script, and may do
// on the wire what a library would not.
type rawServer struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// newRawServer calls the script for each request with its number.
func newRawServer(script func(number int64, id string, connection net.Conn) (goOn bool)) *rawServer {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &rawServer{listener: listener}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			server.connections.Add(1)
			go server.serve(accepted, script)
		}
	}()
	return server
}

func (r *rawServer) serve(connection net.Conn, script func(int64, string, net.Conn) bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !script(r.requests.Add(1), request.Header.Get("Id"), connection) {
			return
		}
	}
}

func (r *rawServer) instance() *Instance {
	fleet := NewFleet(time.Now)
	fleet.Apply(Declaration{ID: "i", Service: "s", Address: r.listener.Addr().String(), Version: 1})
	return fleet.Of("s")[0]
}

func answer(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

func send(ctx context.Context, instance *Instance, id string) (string, error) {
	reply, err := instance.Exchange(ctx, &Outgoing{
		Method: "POST", Target: "/path?q=%2F", Host: "h", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte("ab"), []byte("c")},
		Belongs: func(header http.Header) bool { return header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	content, err := io.ReadAll(reply.Body)
	return string(content), err
}

var _ = Describe("Exchange", func() {
	It("keeps a sound connection for the next request", func(ctx SpecContext) {
		server := newRawServer(func(_ int64, id string, connection net.Conn) bool {
			_, err := io.WriteString(connection, answer(id, "to "+id))
			return err == nil
		})
		instance := server.instance()
		for _, id := range []string{"1", "2", "3"} {
			Expect(send(ctx, instance, id)).To(Equal("to " + id))
		}
		Expect(server.connections.Load()).To(BeEquivalentTo(1))
	})

	It("passes the target and the pieces of the body on unchanged", func(ctx SpecContext) {
		received := make(chan string, 1)
		served, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			received <- request.RequestURI + " " + request.Host + " " + string(body) + " " + request.UserAgent()
			writer.Header().Set("Id", request.Header.Get("Id"))
		})}
		go func() { _ = server.Serve(served) }()
		DeferCleanup(server.Close)
		instance := (&rawServer{listener: served}).instance()
		_, err = send(ctx, instance, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(<-received).To(Equal("/path?q=%2F h abc "))
	})

	It("gives no answer of another request, and drops one that stands before its own", func(ctx SpecContext) {
		server := newRawServer(func(number int64, id string, connection net.Conn) bool {
			text := answer(id, "to "+id)
			if number == 2 {
				text = answer("1", "again to 1") + text
			}
			_, err := io.WriteString(connection, text)
			return err == nil
		})
		instance := server.instance()
		Expect(send(ctx, instance, "1")).To(Equal("to 1"))
		Expect(send(ctx, instance, "2")).To(Equal("to 2"))
		Expect(send(ctx, instance, "3")).To(Equal("to 3"))
		Expect(server.connections.Load()).To(BeEquivalentTo(2), "a connection with a stray answer is not kept")
	})

	It("does not use a connection on which something stands after the answer", func(ctx SpecContext) {
		server := newRawServer(func(_ int64, id string, connection net.Conn) bool {
			_, err := io.WriteString(connection, answer(id, "x")+answer(id, "x"))
			return err == nil
		})
		instance := server.instance()
		Expect(send(ctx, instance, "1")).To(Equal("x"))
		Expect(send(ctx, instance, "2")).To(Equal("x"))
		Expect(server.connections.Load()).To(BeEquivalentTo(2))
	})

	It("refuses an answer on a new connection that is not its own", func(ctx SpecContext) {
		server := newRawServer(func(_ int64, _ string, connection net.Conn) bool {
			_, err := io.WriteString(connection, answer("other", "x"))
			return err == nil
		})
		_, err := send(ctx, server.instance(), "1")
		var lost *LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
	})

	DescribeTable("tells a cut answer from a whole one", func(ctx SpecContext, head, body string, whole bool) {
		server := newRawServer(func(_ int64, id string, connection net.Conn) bool {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+head+"\r\n"+body)
			return false
		})
		content, err := send(ctx, server.instance(), "1")
		if !whole {
			Expect(err).To(HaveOccurred())
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("abc"))
	},
		Entry("short of its length", "Content-Length: 5\r\n", "abc", false),
		Entry("without the last chunk", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n", false),
		Entry("chunked", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", true),
		Entry("ended by the connection", "Connection: close\r\n", "abc", true),
	)

	It("says that nothing was sent when nobody listens", func(ctx SpecContext) {
		server := newRawServer(func(int64, string, net.Conn) bool { return false })
		instance := server.instance()
		Expect(server.listener.Close()).To(Succeed())
		_, err := send(ctx, instance, "1")
		var notSent *NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue())
	})

	It("never sends twice: a kept connection that is closed on the request is an unknown ending", func(ctx SpecContext) {
		server := newRawServer(func(number int64, id string, connection net.Conn) bool {
			if number == 2 {
				return false
			}
			_, err := io.WriteString(connection, answer(id, "x"))
			return err == nil
		})
		instance := server.instance()
		Expect(send(ctx, instance, "1")).To(Equal("x"))
		_, err := send(ctx, instance, "2")
		var lost *LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(server.requests.Load()).To(BeEquivalentTo(2))
	})

	It("takes an answer that comes before a long request is read, and drops the connection", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				accepted, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = bufio.NewReader(accepted).ReadString('\n')
					_, _ = io.WriteString(accepted, answer("1", "early"))
				}()
			}
		}()
		instance := (&rawServer{listener: listener}).instance()
		reply, err := instance.Exchange(ctx, &Outgoing{
			Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte(strings.Repeat("x", 64<<20))},
			Belongs: func(http.Header) bool { return true },
		})
		Expect(err).NotTo(HaveOccurred())
		content, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("early"))
		Expect(instance.pool.pop()).To(BeNil())
	})

	It("gives an instance up that does not read the request, and promises nothing", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		accepted := make(chan net.Conn, 1)
		go func() {
			if connection, err := listener.Accept(); err == nil {
				accepted <- connection
			}
		}()
		instance := (&rawServer{listener: listener}).instance()
		_, err = instance.Exchange(ctx, &Outgoing{
			Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte(strings.Repeat("x", 64<<20))},
			Belongs: func(http.Header) bool { return true },
		})
		var lost *LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(err).To(MatchError(ErrUnread))
		Expect(instance.pool.pop()).To(BeNil())
		Eventually(accepted).Should(Receive())
	})

	It("goes on sending to an instance that reads slowly", func() {
		near, far := net.Pipe()
		defer near.Close()
		const patience, pieces = 200 * time.Millisecond, 8
		received := make(chan int, 1)
		go func() {
			sum := 0
			for range pieces {
				count, _ := far.Read(make([]byte, 1000))
				sum += count
			}
			received <- sum
		}()
		writer := &patientWriter{connection: near, patience: patience}
		count, err := writer.Write(make([]byte, pieces*1000))
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(pieces * 1000))
		Expect(<-received).To(Equal(pieces * 1000))
		count, err = writer.Write(make([]byte, 10))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(count).To(BeZero())
	})

	It("closes the connection when the caller leaves", func(ctx SpecContext) {
		closed := make(chan struct{})
		server := newRawServer(func(_ int64, _ string, connection net.Conn) bool {
			_, _ = connection.Read(make([]byte, 1))
			close(closed)
			return false
		})
		left, leave := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, err := send(left, server.instance(), "1")
			done <- err
		}()
		Eventually(server.requests.Load).Should(BeEquivalentTo(1))
		leave()
		Eventually(closed).Should(BeClosed())
		Eventually(done).Should(Receive(HaveOccurred()))
	})

	It("closes kept connections before the instance does", func() {
		Expect(idleLimit(http.Header{"Keep-Alive": {"timeout=5, max=100"}})).To(Equal(5*time.Second - idleMargin))
		Expect(idleLimit(http.Header{})).To(Equal(defaultIdleLimit))
	})
})

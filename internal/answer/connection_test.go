package answer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// scriptedConn ends its input at once, and lets each write wait for its result.
type scriptedConn struct {
	net.Conn // nil
	results  chan error
	writing  chan struct{} // receives whenever a write begins; nil: nobody waits for it
}

func (scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c scriptedConn) Write(content []byte) (int, error) {
	if c.writing != nil {
		c.writing <- struct{}{}
	}
	return len(content), <-c.results
}

func (scriptedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func readOnce(from io.Reader) error {
	_, err := from.Read(make([]byte, 1))
	return err
}

// Guards against a reset that only the writer is told of.
func TestReaderIsToldOfAFailedWrite(t *testing.T) {
	for _, each := range []struct {
		written error
		isReset bool
	}{
		{nil, false},
		{syscall.ECONNRESET, true},
		{syscall.EPIPE, true},
		{syscall.ETIMEDOUT, true},
		{os.ErrDeadlineExceeded, false}, // the peer reads slowly, or no longer
	} {
		g := NewWithT(t)
		connection := NewConnection(scriptedConn{results: make(chan error, 1)})
		connection.Conn.(scriptedConn).results <- each.written
		_, _ = connection.Write([]byte("x"))
		err := readOnce(connection)
		if !each.isReset {
			g.Expect(err).To(BeIdenticalTo(io.EOF), "%v", each.written)
			continue
		}
		var reset *ResetError
		g.Expect(errors.As(err, &reset)).To(BeTrue(), "%v", each.written)
		g.Expect(err).To(MatchError(each.written))
		g.Expect(reset.Peer).To(Equal("127.0.0.1:1"))
	}
}

// Guards against an end that is reported while the writer is about to learn of a reset, in a write or between
// two writes of one request.
func TestReaderWaitsForTheWriter(t *testing.T) {
	g := NewWithT(t)
	results, writing := make(chan error), make(chan struct{})
	connection := NewConnection(scriptedConn{results: results, writing: writing})
	connection.BeginRequest()
	go func() {
		defer connection.EndRequest()
		for range 2 {
			_, _ = connection.Write([]byte("x"))
		}
	}()
	read := make(chan error, 1)
	go func() { read <- readOnce(connection) }()
	<-writing
	g.Consistently(read).ShouldNot(Receive())
	results <- nil
	<-writing
	g.Consistently(read).ShouldNot(Receive())
	results <- syscall.ECONNRESET
	g.Eventually(read).Should(Receive(MatchError(syscall.ECONNRESET)))
}

// Guards against the same for a writer that does not say when its requests begin and end.
func TestReaderWaitsForAWriteInProgress(t *testing.T) {
	g := NewWithT(t)
	results, writing := make(chan error), make(chan struct{})
	connection := NewConnection(scriptedConn{results: results, writing: writing})
	go func() { _, _ = connection.Write([]byte("x")) }()
	<-writing
	read := make(chan error, 1)
	go func() { read <- readOnce(connection) }()
	g.Consistently(read).ShouldNot(Receive())
	results <- syscall.ECONNRESET
	g.Eventually(read).Should(Receive(MatchError(syscall.ECONNRESET)))
}

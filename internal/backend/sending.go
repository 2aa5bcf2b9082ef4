package backend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// unreadFor is how long an instance may take nothing of a request that is being sent: longer than
// a segment takes that was lost twice (0.6 s), and below peerSilence, after which the operating
// system ends a connection whose other end takes nothing.
const unreadFor = 1200 * time.Millisecond

// ErrUnread says that the exchange ended before the instance had taken the whole request.
var ErrUnread = errors.New("the instance has not read the whole request")

// write sends the request. An instance that does not read loses the connection, unless it has
// begun to answer: what it answers still counts.
func (e *exchange) write(request *http.Request) {
	err := request.Write(&patientWriter{connection: e.connection.Conn, patience: unreadFor})
	if err == nil {
		err = e.connection.SetWriteDeadline(time.Time{})
	}
	e.written <- err
	if errors.Is(err, os.ErrDeadlineExceeded) && !e.answered.Load() {
		_ = e.connection.Close() // ends the reading of an answer; it fails only when it is closed already
	}
}

// cause tells why no answer was read, and whether the request had been sent whole. What ran is
// unknown in either case: the instance may work on what it has read.
func (e *exchange) cause(err error) error {
	_ = e.connection.Close() // ends the sending, if it is still under way
	if sent := <-e.written; sent != nil {
		return eris.Wrapf(ErrUnread, "%v; sending: %v", err, sent)
	}
	return err
}

// patientWriter writes to a connection whose other end may be slow, but takes something within
// the patience.
type patientWriter struct {
	connection net.Conn
	patience   time.Duration
}

// Write implements io.Writer.
func (p *patientWriter) Write(content []byte) (int, error) {
	written := 0
	for {
		if err := p.connection.SetWriteDeadline(time.Now().Add(p.patience)); err != nil {
			return written, err
		}
		count, err := p.connection.Write(content[written:])
		written += count
		if count == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom: a body is written in pieces as large as a connection would
// take it, and not through the small buffer for a request's head.
func (p *patientWriter) ReadFrom(body io.Reader) (int64, error) {
	const piece = 32 << 10
	buffer := make([]byte, piece)
	total := int64(0)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			written, writeErr := p.Write(buffer[:count])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

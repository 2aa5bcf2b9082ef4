package backend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// writeStallTimeout is how long an instance may accept no bytes while a request is written. It
// is longer than TCP takes to retransmit a segment that was lost twice (0.6 s), and shorter than
// unackedTimeout.
const writeStallTimeout = 1200 * time.Millisecond

// ErrRequestNotRead means that the exchange ended before the whole request was written, so that
// the instance has not read all of it.
var ErrRequestNotRead = errors.New("the instance has not read the whole request")

// write writes the request to the connection and sends the result to writeResult. If the
// instance stops reading before it responds, write closes the connection; a response that has
// begun is still read.
func (e *exchange) write(request *http.Request) {
	defer e.connection.EndRequest()
	writer := &stallTimeoutWriter{connection: e.connection, stallTimeout: writeStallTimeout}
	var err error
	if strings.HasPrefix(request.URL.Opaque, "//") {
		err = request.Write(&opaqueTargetWriter{writer: writer, methodBytes: len(request.Method)})
	} else {
		err = request.Write(writer)
	}
	if err == nil {
		err = e.connection.SetWriteDeadline(time.Time{})
	}
	e.writeResult <- err
	if errors.Is(err, os.ErrDeadlineExceeded) && !e.responseStarted.Load() {
		_ = e.connection.Close() // stops readResponse; an error only means that the connection is already closed
	}
}

// opaqueTargetWriter removes the colon that http.Request.Write puts before an opaque target that begins
// with two slashes, as after a scheme.
type opaqueTargetWriter struct {
	writer      io.Writer
	methodBytes int  // length of the method, which precedes the target and a space
	hasBegun    bool // whether the request line was written
}

// Write implements io.Writer. The first call contains the request line, since http.Request.Write
// writes the head through a buffer that is larger than any method.
func (w *opaqueTargetWriter) Write(content []byte) (int, error) {
	if w.hasBegun {
		return w.writer.Write(content)
	}
	w.hasBegun = true
	colon := w.methodBytes + len(" ")
	if _, err := w.writer.Write(slices.Delete(slices.Clone(content), colon, colon+len(":"))); err != nil {
		return 0, err
	}
	return len(content), nil
}

// closeWithCause closes the connection and returns why there is no response: ErrRequestNotRead,
// with the texts of both errors, if the request was not sent completely, and err otherwise. In
// either case the instance may have executed the request.
func (e *exchange) closeWithCause(err error) error {
	_ = e.connection.Close() // stops a write that is still in progress
	if writeErr := <-e.writeResult; writeErr != nil {
		return eris.Wrapf(ErrRequestNotRead, "%v; write request: %v", err, writeErr)
	}
	return err
}

// stallTimeoutWriter writes to a connection and fails when the peer accepts no bytes for
// stallTimeout. A slow peer may take longer in total.
type stallTimeoutWriter struct {
	connection   net.Conn
	stallTimeout time.Duration
}

// Write implements io.Writer.
func (w *stallTimeoutWriter) Write(content []byte) (int, error) {
	written := 0
	for {
		if err := w.connection.SetWriteDeadline(time.Now().Add(w.stallTimeout)); err != nil {
			return written, err
		}
		count, err := w.connection.Write(content[written:])
		written += count
		if count == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom. It copies in large chunks instead of through the small
// buffer that http.Request.Write uses for the head.
func (w *stallTimeoutWriter) ReadFrom(body io.Reader) (int64, error) {
	const chunkBytes = 32 << 10
	buffer := make([]byte, chunkBytes)
	total := int64(0)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			written, writeErr := w.Write(buffer[:count])
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

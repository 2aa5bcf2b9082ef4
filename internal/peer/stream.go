package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	writeChunkBytes     = 1 << 20
	maxSpareBufferBytes = 256 << 10 // larger write buffers are not reused
	controlBufferBytes  = 2 << 10
	otherBufferBytes    = 32 << 10
)

// readBufferBytes returns the size of the read buffer of a connection.
func readBufferBytes(class Class) int {
	if class == ClassControl {
		return controlBufferBytes
	}
	return otherBufferBytes
}

// messageReader reads from a connection, counts the bytes of the current message
// and returns ErrTooLarge when they exceed maxBytes.
type messageReader struct {
	buffered *bufio.Reader
	maxBytes int64
	consumed int64 // bytes read since startMessage
}

func newMessageReader(conn net.Conn, class Class, maxBytes int64) *messageReader {
	return &messageReader{buffered: bufio.NewReaderSize(conn, readBufferBytes(class)), maxBytes: maxBytes}
}

func (r *messageReader) startMessage() { r.consumed = 0 }

// Read implements io.Reader.
func (r *messageReader) Read(into []byte) (int, error) {
	left := r.maxBytes - r.consumed
	if left <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(into)) > left {
		into = into[:left]
	}
	count, err := r.buffered.Read(into)
	r.consumed += int64(count)
	return count, err
}

// ReadByte implements io.ByteReader. Without it, gob would add a buffer of its
// own and read beyond the current message.
func (r *messageReader) ReadByte() (byte, error) {
	if r.consumed >= r.maxBytes {
		return 0, ErrTooLarge
	}
	value, err := r.buffered.ReadByte()
	if err == nil {
		r.consumed++
	}
	return value, err
}

// messageWriter encodes messages into a buffer, which its own goroutine writes to
// the connection. Callers therefore need not wait for the network, and several
// messages can share one write. It is safe for concurrent use.
type messageWriter struct {
	conn    net.Conn
	options *Options

	mutex        sync.Mutex
	stateChanged sync.Cond     // signals changes of pending, writing and failure
	encoder      *gob.Encoder  // appends to pending
	pending      bytes.Buffer  // encoded bytes that are not being written yet
	writing      bool          // a write to conn is in progress
	failure      error         // the first error; conn is closed if it is set
	done         chan struct{} // closed when the goroutine has returned
}

func newMessageWriter(conn net.Conn, options *Options) *messageWriter {
	w := &messageWriter{conn: conn, options: options, done: make(chan struct{})}
	w.stateChanged.L = &w.mutex
	w.encoder = gob.NewEncoder(&w.pending)
	go w.run()
	return w
}

// encode appends a header and a body to the pending bytes and returns the number of
// bytes added. If more than Options.MaxQueuedBytes are already pending, it returns
// ErrCongested without encoding, or, if wait is true, first waits for them to be
// written. It returns the first error of the connection if that has failed. An
// encoding error or a message above Options.MaxMessageBytes closes the connection.
func (w *messageWriter) encode(header, body any, wait bool) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.failure == nil && w.pending.Len() > w.options.MaxQueuedBytes {
		if !wait {
			return 0, ErrCongested
		}
		w.stateChanged.Wait()
	}
	if w.failure != nil {
		return 0, w.failure
	}
	before := w.pending.Len()
	if err := w.appendMessage(header, body); err != nil {
		w.failLocked(err)
		return 0, err
	}
	added := w.pending.Len() - before
	if int64(added) > w.options.MaxMessageBytes {
		w.failLocked(ErrTooLarge)
		return added, ErrTooLarge
	}
	w.stateChanged.Broadcast()
	return added, nil
}

func (w *messageWriter) appendMessage(header, body any) error {
	if err := w.encoder.Encode(header); err != nil {
		return eris.Wrap(err, "encode header")
	}
	return eris.Wrap(w.encoder.Encode(body), "encode body")
}

// failLocked records the first error and closes the connection without sending
// the pending bytes, which may end in a partly encoded message. The caller must
// hold w.mutex.
func (w *messageWriter) failLocked(err error) {
	if w.failure == nil {
		w.failure = err
	}
	_ = w.conn.Close()
	w.stateChanged.Broadcast()
}

func (w *messageWriter) fail(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failLocked(err)
}

// flush waits until all pending bytes are written or the connection has failed.
func (w *messageWriter) flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.failure == nil && (w.pending.Len() > 0 || w.writing) {
		w.stateChanged.Wait()
	}
}

// run writes pending bytes to the connection until the connection fails.
func (w *messageWriter) run() {
	defer close(w.done)
	var spare []byte
	for {
		taken, ok := w.takePending(&spare)
		if !ok {
			return
		}
		if err := w.write(taken); err != nil {
			w.fail(err)
			return
		}
		spare = taken
	}
}

// takePending waits for pending bytes and returns them, or returns false if the
// connection has failed. Messages encoded later are written to the spare buffer,
// unless it is larger than maxSpareBufferBytes.
func (w *messageWriter) takePending(spare *[]byte) ([]byte, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = false
	w.stateChanged.Broadcast()
	for w.failure == nil && w.pending.Len() == 0 {
		w.stateChanged.Wait()
	}
	if w.failure != nil {
		return nil, false
	}
	taken := w.pending.Bytes()
	if cap(*spare) > maxSpareBufferBytes {
		*spare = nil
	}
	w.pending = *bytes.NewBuffer((*spare)[:0])
	w.writing = true
	return taken, true
}

// write writes bytes to the connection in chunks of up to writeChunkBytes, each
// within Options.WriteTimeout.
func (w *messageWriter) write(content []byte) error {
	for len(content) > 0 {
		chunk := content[:min(len(content), writeChunkBytes)]
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.options.WriteTimeout)); err != nil {
			return err
		}
		if _, err := w.conn.Write(chunk); err != nil {
			return err
		}
		content = content[len(chunk):]
	}
	return nil
}

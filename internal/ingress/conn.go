package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// Conn is a connection of a Limiter. Read follows the rules of http.Server: it is called by one goroutine
// at a time, and with a buffer of one byte only while a handler runs whose request was read completely.
type Conn struct {
	net.Conn
	limiter        *Limiter
	headerTimeout  time.Duration
	maxHeaderBytes int

	// Guarded by limiter.mutex.
	state          connState
	since          time.Time // when the state was entered
	previous, next *Conn
	uncounted      bool // no longer counted as open

	// Used by the goroutine that reads, and by http.Server between reads.
	isReadingHeader bool
	scanner         headerScanner
	staged          []byte      // bytes that were received and not passed on
	headerBytes     int         // leading bytes of staged that belong to a complete header
	isAhead         bool        // the bytes of staged had arrived before the last request was answered
	inputBytes      int         // bytes of the body that were passed on
	hasBulkSlot     atomic.Bool // also used while a handler writes

	isReceiving atomic.Bool // its goroutine waits for bytes that the client owes
	isBulk      atomic.Bool // reading the header or body in progress needs a bulk slot

	mutex          sync.Mutex
	deadline       time.Time           // as set by SetReadDeadline
	evicted        bool                // the client is given up; reads fail, unless keptForAnswer is set
	keptForAnswer  bool                // the request of an evicted client was read completely, and is to be answered
	evictedSignal  chan struct{}       // closed when evicted is set; nil: nobody has waited for that
	inputComplete  bool                // the request in progress was read completely
	reservation    *memory.Reservation // for the header; nil: nothing is reserved
	input          *memory.Reservation // of the handler; nil: none
	stagedReserved int64               // bytes of reservation that are for staged
}

// bulkBytes is the size of a body beyond which reading it needs a bulk slot.
const bulkBytes = 16 << 10

// FromConn returns the Conn that c is or wraps, or nil.
func FromConn(c net.Conn) *Conn {
	for {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	if c.isReadingHeader {
		return c.readHeader(into)
	}
	c.releaseBulkSlot()
	return c.readInput(into)
}

// receive reads bytes that the client owes.
func (c *Conn) receive(into []byte) (int, error) {
	c.isReceiving.Store(true)
	defer c.isReceiving.Store(false)
	return c.Conn.Read(into)
}

// keepForAnswer lets reads of a client that was given up wait again, after its request was read completely
// nevertheless. A read that fails would make http.Server cancel the request before it is answered.
func (c *Conn) keepForAnswer() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted && !c.keptForAnswer {
		c.keptForAnswer = true
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed already
	}
}

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	c.releaseBulkSlot() // the client may be slow
	return c.Conn.Write(content)
}

// CloseWrite closes the sending side of the connection, if it supports that.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that is given up.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.evicted && !c.keptForAnswer {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// Release ends the bounds of the limiter for this connection, which no longer counts there.
func (c *Conn) Release() { c.limiter.remove(c) }

// readInput reads a part of a body. Large bodies are read with a bulk slot.
func (c *Conn) readInput(into []byte) (int, error) {
	if len(c.staged) > 0 {
		count := copy(into, c.staged)
		c.consume(count)
		return count, nil
	}
	const backgroundRead = 1 // http.Server waits for the end of such a read after the handler
	if len(into) == backgroundRead {
		c.keepForAnswer()
		return c.Conn.Read(into)
	}
	count, err := c.receive(into)
	if c.limiter.options.IsEncrypted {
		return count, err
	}
	if c.inputBytes += count; c.inputBytes > bulkBytes && err == nil {
		err = c.takeBulkSlot()
	}
	return count, err
}

// endHeader records that the header was parsed.
func (c *Conn) endHeader() {
	c.releaseBulkSlot()
	c.isBulk.Store(false)
	c.isReadingHeader = false
	c.scanner = headerScanner{}
	c.headerBytes = 0
	c.inputBytes = 0
}

// endRequest records that the request was answered, and releases what was reserved for its header.
func (c *Conn) endRequest() {
	c.releaseBulkSlot()
	c.isBulk.Store(false)
	c.isReadingHeader = !c.limiter.options.IsEncrypted
	c.isAhead = len(c.staged) > 0
	c.scanner = headerScanner{}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inputComplete = false
	c.input = nil
	if c.isAhead {
		c.reservation.ShrinkTo(memory.Header, c.stagedReserved)
		return
	}
	c.releaseReservation()
}

// end records that the connection has ended.
func (c *Conn) end() {
	c.releaseBulkSlot()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.releaseReservation()
}

// releaseReservation releases all that is reserved. c.mutex must be held.
func (c *Conn) releaseReservation() {
	c.reservation.Close()
	c.reservation, c.stagedReserved = nil, 0
}

// evict gives the client up, unless its request was read completely: reads fail, and what was reserved
// for the request is released. It returns false if it did nothing.
func (c *Conn) evict() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted || c.inputComplete {
		return false
	}
	c.evicted = true
	if c.evictedSignal != nil {
		close(c.evictedSignal)
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed already
	c.reservation.Close()
	c.input.Close()
	return true
}

func (c *Conn) isEvicted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.evicted
}

// reservedBytes returns the memory that the request takes, including a share of the connection.
func (c *Conn) reservedBytes() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return ConnectionBytes + c.reservation.Bytes() + c.input.Bytes()
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// WithConn is an http.Server.ConnContext hook. It adds the connection to the context of its requests.
func WithConn(ctx context.Context, accepted net.Conn) context.Context {
	if conn := FromConn(accepted); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil. All its methods for handlers accept nil.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// SetInput tells the memory that a handler reserved for the body which it is about to read. It is
// released if the client has to make room.
func (c *Conn) SetInput(reservation *memory.Reservation) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.input = reservation
}

// IsEvicted reports whether the client was given up to make room for others.
func (c *Conn) IsEvicted() bool { return c != nil && c.isEvicted() }

// IsInputComplete reports whether InputComplete was called for the request in progress.
func (c *Conn) IsInputComplete() bool {
	if c == nil {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inputComplete
}

// InputComplete records that the handler has read the whole request, which no longer gives way to
// others. It returns false if the client was given up before.
func (c *Conn) InputComplete() bool {
	if c == nil {
		return true
	}
	c.mutex.Lock()
	complete := !c.evicted
	c.inputComplete = complete
	c.mutex.Unlock()
	if complete {
		c.limiter.move(c, stateServing)
	}
	return complete
}

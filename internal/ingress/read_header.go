package ingress

import (
	"os"
	"time"

	"github.com/thymeloft/thymeloft/internal/memory"
)

const (
	// cheapFields is the number of header fields up to which their cost is part of the cost of a connection.
	cheapFields = 64
	// bulkHeaderBytes is the size of a header from which parsing it needs a bulk slot.
	bulkHeaderBytes = 4 << 10
	// stagingBytes is the initial size of the buffer for a header that did not arrive in one read.
	stagingBytes = 4 << 10
	// parsedFieldBytes is the memory that one parsed header field takes, with its copy for an engine.
	parsedFieldBytes = 192
	// parsedByteFactor is how often the bytes of a header are in memory once it is parsed.
	parsedByteFactor = 3
	// serverSlackBytes is by how much net/http lets a header exceed http.Server.MaxHeaderBytes.
	serverSlackBytes = 4 << 10
)

// readHeader reads a part of a header. A header that arrives in one piece and has few fields is passed
// on as it comes.
func (c *Conn) readHeader(into []byte) (int, error) {
	if c.headerBytes > 0 {
		return c.deliverHeader(into), nil
	}
	if len(c.staged) == 0 {
		count, err := c.receive(into)
		if count == 0 {
			return 0, err
		}
		if isCheap(into[:count], &c.scanner) {
			c.scanner = headerScanner{}
			return count, err
		}
		if err := c.stage(into[:count]); err != nil {
			return 0, err
		}
	}
	if err := c.completeHeader(); err != nil {
		return 0, err
	}
	return c.deliverHeader(into), nil
}

// isCheap scans what was received first and reports whether it contains a complete header with few
// fields and is not a sequence of requests.
func isCheap(received []byte, scanner *headerScanner) bool {
	end := scanner.scan(received)
	return end > 0 && scanner.fields <= cheapFields && !hasSeveralHeaders(received[end:])
}

// stage keeps bytes that were received. The error is errRefused.
func (c *Conn) stage(received []byte) error {
	if err := c.growStaged(max(stagingBytes, len(received))); err != nil {
		return err
	}
	c.staged = append(c.staged, received...)
	c.limiter.move(c, stateHeader)
	return nil
}

// growStaged allocates a buffer of this size for staged, and accounts for it.
func (c *Conn) growStaged(size int) error {
	if err := c.reserve(int64(size)); err != nil {
		return c.refuse(err)
	}
	c.staged = append(make([]byte, 0, size), c.staged...)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reservation.Shrink(memory.Header, c.stagedReserved)
	c.stagedReserved = int64(size)
	return nil
}

// completeHeader reads until staged begins with a complete header, or one that net/http refuses
// because of its size, and reserves what it costs to parse it. It waits for a bulk slot if that is much work.
func (c *Conn) completeHeader() error {
	if c.scanner.end == 0 {
		c.scanner.scan(c.staged[c.scanner.scanned:])
	}
	if c.scanner.end == 0 {
		if err := c.limitHeaderTime(); err != nil {
			return err
		}
	}
	for c.scanner.end == 0 && len(c.staged) < c.maxHeaderBytes+serverSlackBytes {
		if len(c.staged) == cap(c.staged) {
			const growth = 2
			if err := c.growStaged(min(growth*cap(c.staged), c.maxHeaderBytes+serverSlackBytes)); err != nil {
				return err
			}
		}
		count, err := c.receive(c.staged[len(c.staged):cap(c.staged)])
		if count == 0 && err != nil {
			return c.refuseEvicted(err)
		}
		received := c.staged[len(c.staged) : len(c.staged)+count]
		c.staged = c.staged[:len(c.staged)+count]
		c.scanner.scan(received)
	}
	c.headerBytes = len(c.staged)
	if c.scanner.end > 0 {
		c.headerBytes = c.scanner.end
	}
	return c.prepareParsing()
}

// prepareParsing reserves what it costs to parse the header, and waits for a bulk slot if that is much work
// or if the client sends requests ahead.
func (c *Conn) prepareParsing() error {
	cost := int64(c.scanner.fields)*parsedFieldBytes + int64(c.headerBytes)*parsedByteFactor
	if err := c.reserve(cost); err != nil {
		return c.refuse(err)
	}
	if c.isAhead || c.headerBytes > bulkHeaderBytes || c.scanner.fields > cheapFields {
		if c.takeBulkSlot() != nil {
			return c.refuseWaiting()
		}
	}
	if c.isEvicted() {
		return c.refuseEvicted(os.ErrDeadlineExceeded)
	}
	return nil
}

// limitHeaderTime sets the deadline for the rest of the header.
func (c *Conn) limitHeaderTime() error {
	if c.headerTimeout <= 0 {
		return nil
	}
	limit := time.Now().Add(c.headerTimeout)
	c.mutex.Lock()
	earlier := c.deadline
	c.mutex.Unlock()
	if !earlier.IsZero() && earlier.Before(limit) {
		return nil
	}
	return c.SetReadDeadline(limit)
}

// deliverHeader passes on the next bytes of a complete header, and none beyond it.
func (c *Conn) deliverHeader(into []byte) int {
	count := copy(into, c.staged[:c.headerBytes])
	c.headerBytes -= count
	c.consume(count)
	if c.headerBytes == 0 {
		c.scanner = headerScanner{} // if net/http reads on, what follows is a header again
	}
	return count
}

// consume removes leading bytes of staged. The memory of the buffer is released with its last byte.
func (c *Conn) consume(count int) {
	c.staged = c.staged[count:]
	if len(c.staged) > 0 {
		return
	}
	c.staged = nil
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reservation.Shrink(memory.Header, c.stagedReserved)
	c.stagedReserved = 0
}

// reserve reserves memory for the header.
func (c *Conn) reserve(bytes int64) error {
	c.mutex.Lock()
	if c.reservation == nil {
		c.reservation = c.limiter.group.account.NewReservation(memory.Owner(c.RemoteAddr().String()))
	}
	reservation := c.reservation
	c.mutex.Unlock()
	return reservation.Grow(memory.Header, bytes)
}

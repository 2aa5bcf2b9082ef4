// Package writebehind decouples writes to a connection from the speed of the peer that reads
// from it. Bytes that the kernel does not accept at once are buffered, counted in a memory
// account, and written in the background.
//
// The peer receives all bytes in order and exactly once, or the connection is reset. Buffers
// are counted in the account before they are allocated. Write blocks only while the account has
// no space, and at most for Options.MaxWriteWait. While the peer keeps up, Write is one system
// call and needs no copy and no goroutine.
package writebehind

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// ErrSlowPeer means that the connection was reset because the peer read too slowly.
var ErrSlowPeer = errors.New("the peer reads too slowly")

// blockBytes is the size of the blocks in which bytes are buffered. It holds a few events of a
// stream, or half of what a relay reads at once.
const blockBytes = 4 << 10

// Conn is a connection that buffers writes for a slow peer. At most one goroutine may write and
// one may read at the same time. All other methods are safe for concurrent use.
type Conn struct {
	net.Conn
	group *Group
	raw   syscall.RawConn
	// tryWriteFunc is the method value of tryWrite, stored so that a Write does not allocate.
	// tryContent is its argument; tryCount and tryErr are its results.
	tryWriteFunc func(descriptor uintptr) bool
	tryContent   []byte
	tryCount     int
	tryErr       error

	mutex               sync.Mutex
	changed             sync.Cond // signalled after each block, and when writing ends or fails
	owner               memory.Owner
	reservation         *memory.Reservation // counts the blocks; nil while nothing is buffered
	blocks              [][]byte            // buffered bytes that no goroutine is writing yet
	draining            bool                // a goroutine writes the blocks
	failure             error               // returned by all further writes
	closeRequested      bool                // Close was called while draining
	closeWriteRequested bool                // CloseWrite was called
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// tryWrite writes as many bytes as the kernel accepts without blocking.
func (c *Conn) tryWrite(descriptor uintptr) bool {
	for {
		count, err := syscall.Write(int(descriptor), c.tryContent)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
		case err != nil:
			c.tryErr = os.NewSyscallError("write", err)
		default:
			c.tryCount = count
		}
		return true
	}
}

// Write implements net.Conn. It waits for buffer space for at most Options.MaxWriteWait.
func (c *Conn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	written := 0
	if !c.draining {
		count, err := c.writeNow(content)
		if err != nil || count == len(content) {
			return count, err
		}
		written = count
	}
	buffered, err := c.buffer(content[written:])
	return written + buffered, err
}

// writeNow writes as many bytes as the kernel accepts without blocking, and returns their
// number.
func (c *Conn) writeNow(content []byte) (int, error) {
	c.tryContent, c.tryCount, c.tryErr = content, 0, nil
	err := c.raw.Write(c.tryWriteFunc)
	c.tryContent = nil
	if err == nil {
		err = c.tryErr
	}
	return c.tryCount, err
}

// buffer copies the bytes into blocks, and waits for at most Options.MaxWriteWait in total if
// the account has no space.
func (c *Conn) buffer(content []byte) (int, error) {
	buffered := 0
	var deadline time.Time // end of the wait; zero: not waiting yet
	for buffered < len(content) {
		if c.failure != nil {
			return buffered, c.failure
		}
		if c.ensureSpace() {
			buffered += c.appendToBlock(content[buffered:])
			c.startDraining()
			continue
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(c.group.options.MaxWriteWait)
			c.group.pausedWrites.Add(1)
		}
		if !c.draining {
			count, err := c.writeUnbuffered(content[buffered:], deadline)
			return buffered + count, err
		}
		c.waitForBlock(deadline)
	}
	return buffered, nil
}

// appendToBlock copies as many bytes as fit into the last block, and returns their number.
func (c *Conn) appendToBlock(content []byte) int {
	last := len(c.blocks) - 1
	block := c.blocks[last]
	count := min(cap(block)-len(block), len(content))
	c.blocks[last] = append(block, content[:count]...)
	return count
}

// ensureSpace adds a block if there is none with free space. It returns false if the account
// has no space for a block.
func (c *Conn) ensureSpace() bool {
	last := len(c.blocks) - 1
	if last >= 0 && len(c.blocks[last]) < cap(c.blocks[last]) {
		return true
	}
	if c.reservation == nil {
		c.reservation = c.group.options.Account.NewReservation(c.owner)
	}
	if c.reservation.Grow(memory.Answer, blockBytes) != nil {
		return false
	}
	c.blocks = append(c.blocks, make([]byte, 0, blockBytes))
	return true
}

// writeUnbuffered writes directly to the connection, and blocks at most until the deadline. It
// is used when the account has no space for even one block.
func (c *Conn) writeUnbuffered(content []byte, deadline time.Time) (int, error) {
	c.mutex.Unlock()
	count, err := c.writeUntil(content, deadline)
	c.mutex.Lock()
	if err == nil {
		_ = c.SetWriteDeadline(time.Time{}) // an error would also be returned by the next write
		return count, nil
	}
	if c.failure == nil {
		c.fail(err)
	}
	return count, c.failure
}

// writeUntil writes the content. It returns ErrSlowPeer if the peer did not accept all of it
// before the deadline.
func (c *Conn) writeUntil(content []byte, deadline time.Time) (int, error) {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	count, err := c.Conn.Write(content)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = eris.Wrap(ErrSlowPeer, "no space to buffer the data")
	}
	return count, err
}

// waitForBlock waits until a block is written or the connection fails. If neither happens
// before the deadline, it fails the connection with ErrSlowPeer.
func (c *Conn) waitForBlock(deadline time.Time) {
	timer := time.AfterFunc(time.Until(deadline), func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.changed.Broadcast()
	})
	defer timer.Stop()
	c.changed.Wait()
	if c.failure == nil && !time.Now().Before(deadline) {
		c.fail(eris.Wrap(ErrSlowPeer, "no space to buffer more data"))
	}
}

// CloseWrite closes the connection for writing after all buffered bytes are written. It does
// not wait for that.
func (c *Conn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeWriteRequested = true
	if !c.draining {
		c.closeWriteNow()
	}
	return nil
}

// Close closes the connection after all buffered bytes are written. It does not wait for that.
// Reads fail from now on.
func (c *Conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.draining && c.failure == nil {
		c.closeRequested = true
		return c.SetReadDeadline(time.Now())
	}
	if c.failure == nil {
		c.failure = net.ErrClosed
	}
	return c.Conn.Close()
}

// SetOwner sets the owner for which buffered bytes are counted. The new owner takes effect once
// nothing is buffered. SetOwner does nothing if the Conn is nil.
func (c *Conn) SetOwner(owner memory.Owner) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owner = owner
}

// IsSlow reports whether the connection was reset because the peer read too slowly. It returns
// false for a nil Conn.
func (c *Conn) IsSlow() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return errors.Is(c.failure, ErrSlowPeer)
}

// Package writebehind makes writing to a connection independent of how fast the other
// side reads: what the kernel does not take at once is kept, counted, and written behind.
//
// Guarantee: bytes reach the other side in order and once, or the connection is reset with
// ErrSlow; what is kept is counted in the account before it is allocated. A Write waits only
// while the account has no room, and at most for Options.Pause. While the other side keeps
// up, a Write is one call of the kernel, without a copy or a goroutine.
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

// ErrSlow says that the other side did not read, and was cut off for it.
var ErrSlow = errors.New("the reader takes nothing")

// blockBytes is the unit in which bytes are kept: a few events of a stream, or half of what
// a relay reads at once.
const blockBytes = 4 << 10

// Conn is a connection whose writes are kept for a slow reader. One goroutine writes to it,
// another one may read; everything else is safe for concurrent use.
type Conn struct {
	net.Conn
	group *Group
	raw   syscall.RawConn
	// try is attempt as the raw connection calls it; made once, so that a Write allocates nothing.
	try    func(descriptor uintptr) bool
	tried  []byte
	taken  int
	refuse error

	mutex   sync.Mutex
	changed sync.Cond // with each block that was written, and each end
	owner   memory.Owner
	holding *memory.Holding // of the blocks; nil: none are kept
	blocks  [][]byte
	behind  bool // a goroutine writes blocks
	failure error
	closing bool // once all is written
	halved  bool // closed for writing, once all is written
}

// attempt lets the kernel take what it takes without waiting.
func (c *Conn) attempt(descriptor uintptr) bool {
	for {
		count, err := syscall.Write(int(descriptor), c.tried)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
		case err != nil:
			c.refuse = os.NewSyscallError("write", err)
		default:
			c.taken = count
		}
		return true
	}
}

// Write implements net.Conn. After an error nothing more is written.
func (c *Conn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	written := 0
	if !c.behind {
		count, err := c.pass(content)
		if err != nil || count == len(content) {
			return count, err
		}
		written = count
	}
	kept, err := c.keep(content[written:])
	return written + kept, err
}

// pass hands the kernel what it takes at once.
func (c *Conn) pass(content []byte) (int, error) {
	c.tried, c.taken, c.refuse = content, 0, nil
	err := c.raw.Write(c.try)
	c.tried = nil
	if err == nil {
		err = c.refuse
	}
	return c.taken, err
}

// keep copies bytes into blocks; without room it waits, within Options.Pause in all.
func (c *Conn) keep(content []byte) (int, error) {
	kept := 0
	var until time.Time // when waiting is over
	for kept < len(content) {
		if c.failure != nil {
			return kept, c.failure
		}
		if c.room() {
			kept += c.fill(content[kept:])
			c.begin()
			continue
		}
		if until.IsZero() {
			until = time.Now().Add(c.group.options.Pause)
			c.group.paused.Add(1)
		}
		if !c.behind {
			count, err := c.passWaiting(content[kept:], until)
			return kept + count, err
		}
		c.awaitBlock(until)
	}
	return kept, nil
}

// fill copies what fits into the last block.
func (c *Conn) fill(content []byte) int {
	last := len(c.blocks) - 1
	block := c.blocks[last]
	count := min(cap(block)-len(block), len(content))
	c.blocks[last] = append(block, content[:count]...)
	return count
}

// room tells whether the last block has room, or makes one if the account has.
func (c *Conn) room() bool {
	last := len(c.blocks) - 1
	if last >= 0 && len(c.blocks[last]) < cap(c.blocks[last]) {
		return true
	}
	if c.holding == nil {
		c.holding = c.group.options.Account.Open(c.owner)
	}
	if c.holding.Grow(memory.Answer, blockBytes) != nil {
		return false
	}
	c.blocks = append(c.blocks, make([]byte, 0, blockBytes))
	return true
}

// passWaiting writes without keeping anything: there is no room for a single block.
func (c *Conn) passWaiting(content []byte, until time.Time) (int, error) {
	c.mutex.Unlock()
	count, err := c.writeUntil(content, until)
	c.mutex.Lock()
	if err == nil {
		_ = c.SetWriteDeadline(time.Time{}) // a closed connection says so at the next write
		return count, nil
	}
	if c.failure == nil {
		c.fail(err)
	}
	return count, c.failure
}

func (c *Conn) writeUntil(content []byte, until time.Time) (int, error) {
	if err := c.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	count, err := c.Conn.Write(content)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = eris.Wrap(ErrSlow, "there is no room to keep its answer")
	}
	return count, err
}

// awaitBlock waits until a block was written, or cuts the reader off when it has waited long enough.
func (c *Conn) awaitBlock(until time.Time) {
	timer := time.AfterFunc(time.Until(until), func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.changed.Broadcast()
	})
	defer timer.Stop()
	c.changed.Wait()
	if c.failure == nil && !time.Now().Before(until) {
		c.fail(eris.Wrap(ErrSlow, "there is no room to keep more of its answer"))
	}
}

// CloseWrite ends writing once all is written.
func (c *Conn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.halved = true
	if !c.behind {
		c.halve()
	}
	return nil
}

// Close closes the connection once all is written; nothing is read from now on.
func (c *Conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.behind && c.failure == nil {
		c.closing = true
		return c.SetReadDeadline(time.Now())
	}
	if c.failure == nil {
		c.failure = net.ErrClosed
	}
	return c.Conn.Close()
}

// Own tells for whom bytes are kept from now on. A nil Conn keeps none.
func (c *Conn) Own(owner memory.Owner) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owner = owner
}

// Slow tells whether the other side was cut off because it did not read.
func (c *Conn) Slow() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return errors.Is(c.failure, ErrSlow)
}

package writebehind

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// begin starts writing behind, unless it is under way.
func (c *Conn) begin() {
	if c.behind {
		return
	}
	c.behind = true
	c.group.behind.Add(1)
	go c.drain()
}

// drain writes blocks until there are none.
func (c *Conn) drain() {
	defer c.group.behind.Add(-1)
	for {
		block, more := c.next()
		if !more {
			return
		}
		err := c.push(block)
		c.wrote(err)
	}
}

// next takes the first block; after the last one it ends what waited for it.
func (c *Conn) next() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil && len(c.blocks) > 0 {
		block := c.blocks[0]
		c.blocks = c.blocks[1:]
		return block, true
	}
	c.behind = false
	c.release()
	if c.failure == nil {
		_ = c.SetWriteDeadline(time.Time{}) // a closed connection says so at the next write
		c.end()
	}
	c.changed.Broadcast()
	return nil, false
}

// push writes a block, as long as the other side takes some of it in Options.Silence: one that has
// stopped is found after that time at least, and twice that time at most.
func (c *Conn) push(block []byte) error {
	for len(block) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.group.options.Silence)); err != nil {
			return err
		}
		count, err := c.Conn.Write(block)
		block = block[count:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if count > 0 {
				continue
			}
			return eris.Wrapf(ErrSlow, "nothing for %s", c.group.options.Silence)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// wrote notes the end of a block.
func (c *Conn) wrote(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.holding.Shrink(memory.Answer, blockBytes)
	if err != nil && c.failure == nil {
		c.fail(err)
	}
	c.changed.Broadcast()
}

// fail ends the connection with a reset: what the kernel keeps for it is freed as well.
func (c *Conn) fail(err error) {
	c.failure = err
	c.blocks = nil
	c.release()
	if errors.Is(err, ErrSlow) {
		c.group.slow(c.RemoteAddr(), err)
	}
	if plain, is := c.Conn.(*net.TCPConn); is {
		_ = plain.SetLinger(0) // fails only when it is closed already
	}
	_ = c.Conn.Close()
	c.changed.Broadcast()
}

func (c *Conn) release() {
	c.holding.Close()
	c.holding = nil
}

// end closes what was asked to be closed while something was behind.
func (c *Conn) end() {
	if c.halved {
		c.halve()
	}
	if c.closing {
		c.failure = net.ErrClosed
		_ = c.Conn.Close()
	}
}

func (c *Conn) halve() {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		_ = half.CloseWrite() // fails only when it is closed already
	}
}

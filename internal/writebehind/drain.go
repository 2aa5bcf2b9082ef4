package writebehind

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// startDraining starts the goroutine that writes the blocks, unless it runs already. The caller
// holds the mutex.
func (c *Conn) startDraining() {
	if c.draining {
		return
	}
	c.draining = true
	c.group.drainingConns.Add(1)
	go c.drain()
}

// drain writes blocks until none are left.
func (c *Conn) drain() {
	defer c.group.drainingConns.Add(-1)
	for {
		block, more := c.nextBlock()
		if !more {
			return
		}
		err := c.writeBlock(block)
		c.finishBlock(err)
	}
}

// nextBlock removes and returns the first block. If there is none, nextBlock ends the draining,
// completes a Close or CloseWrite that was requested meanwhile, and returns false. If the
// connection failed, nextBlock only ends the draining and returns false.
func (c *Conn) nextBlock() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil && len(c.blocks) > 0 {
		block := c.blocks[0]
		c.blocks = c.blocks[1:]
		return block, true
	}
	c.draining = false
	c.release()
	if c.failure == nil {
		_ = c.SetWriteDeadline(time.Time{}) // an error would also be returned by the next write
		c.finishClose()
	}
	c.changed.Broadcast()
	return nil, false
}

// writeBlock writes the block. It returns ErrSlowPeer if the peer accepts no bytes for
// Options.StallTimeout. Each write that makes some progress restarts that time, so a peer that
// stops reading is detected after at most twice Options.StallTimeout.
func (c *Conn) writeBlock(block []byte) error {
	for len(block) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.group.options.StallTimeout)); err != nil {
			return err
		}
		count, err := c.Conn.Write(block)
		block = block[count:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if count > 0 {
				continue
			}
			return eris.Wrapf(ErrSlowPeer, "no bytes accepted for %s", c.group.options.StallTimeout)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// finishBlock gives the memory of a written block back to the account, and fails the connection
// if the write failed.
func (c *Conn) finishBlock(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reservation.Shrink(memory.Answer, blockBytes)
	if err != nil && c.failure == nil {
		c.fail(err)
	}
	c.changed.Broadcast()
}

// fail closes the connection with a reset, which also frees the kernel's send buffer. All
// further writes return err. The caller holds the mutex.
func (c *Conn) fail(err error) {
	c.failure = err
	c.blocks = nil
	c.release()
	if errors.Is(err, ErrSlowPeer) {
		c.group.recordSlow(c.RemoteAddr(), err)
	}
	c.reset()
	c.changed.Broadcast()
}

// reset closes the connection with a reset, if it supports that.
func (c *Conn) reset() {
	switch connection := c.Conn.(type) {
	case interface{ Abort() error }:
		_ = connection.Abort() // fails only if the connection is closed already
		return
	case *net.TCPConn:
		_ = connection.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// release gives the memory of all blocks back to the account. The caller holds the mutex.
func (c *Conn) release() {
	c.reservation.Close()
	c.reservation = nil
}

// finishClose completes a CloseWrite or Close that was requested while bytes were buffered. The
// caller holds the mutex.
func (c *Conn) finishClose() {
	if c.closeWriteRequested {
		c.closeWriteNow()
	}
	if c.closeRequested {
		c.failure = net.ErrClosed
		_ = c.Conn.Close()
	}
}

// closeWriteNow closes the connection for writing, if it supports that.
func (c *Conn) closeWriteNow() {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite() // fails only if the connection is closed already
	}
}

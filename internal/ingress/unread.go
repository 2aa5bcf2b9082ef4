package ingress

import (
	"net"
	"syscall"
	"time"
)

// maxUnreadWait is how long a connection that waits for this process keeps its place at most. It bounds
// the time for which clients keep others out whose bytes no handler reads.
const maxUnreadWait = 2 * time.Second

// waitsForProcess reports whether the client owes nothing at the moment: nobody reads from the connection, or
// bytes have arrived that were not read yet. Clients with bulk input, which wait for the process in turn, don't
// count. entered is when the connection entered its state.
func (c *Conn) waitsForProcess(entered, now time.Time) bool {
	if now.Sub(entered) > maxUnreadWait || c.isBulk.Load() {
		return false
	}
	return !c.isReceiving.Load() || hasUnread(c.Conn)
}

// hasUnread reports whether the kernel holds received bytes of the connection. It returns false if that
// can't be told.
func hasUnread(connection net.Conn) bool {
	socket := socketOf(connection)
	if socket == nil {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	unread := false
	peek := func(descriptor uintptr) {
		var first [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && count > 0
	}
	// Control, unlike Read, doesn't wait for the goroutine that reads.
	return raw.Control(peek) == nil && unread
}

// socketOf returns the socket that a connection is or wraps, or nil.
func socketOf(connection net.Conn) syscall.Conn {
	for {
		if socket, ok := connection.(syscall.Conn); ok {
			return socket
		}
		wrapped, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		connection = wrapped.NetConn()
	}
}

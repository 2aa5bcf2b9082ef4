package faultproxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// fillBacklog makes attempts to connect to the listener get no answer, which nobody must accept from any
// more: it shortens the queue of connections that wait to be accepted, and fills it. The connections stay
// open until the listener is closed.
func fillBacklog(listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access the listener's socket")
	}
	var listenErr error
	err = raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), 0) })
	if err := errors.Join(err, listenErr); err != nil {
		return eris.Wrap(err, "shorten the queue")
	}
	const (
		maxConnections = 16
		timeout        = 100 * time.Millisecond // after which a connection counts as unanswered
	)
	for range maxConnections {
		if !connects(listener.Addr().String(), timeout) {
			return nil
		}
	}
	return eris.New("the queue does not fill")
}

// connects reports whether a connection to the address, which stays open, is established in time.
func connects(address string, timeout time.Duration) bool {
	_, err := net.DialTimeout("tcp4", address, timeout)
	return err == nil
}

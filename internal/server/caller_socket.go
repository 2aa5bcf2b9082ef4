package server

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// callerSocket is the TCP connection of a caller. Some answers mark their end by nothing but the end of
// the connection. If one of them is not complete, callerSocket resets the connection, so that the caller
// does not take it for complete.
//
// Guarantee: from expectAnswer to completeAnswer, the connection can only end with a reset, also if the
// process is killed. It is safe for concurrent use.
type callerSocket struct {
	*net.TCPConn
	mutex sync.Mutex
	state answerState
}

// answerState is the state of an answer that ends with its connection.
type answerState uint8

const (
	answerNone     answerState = iota // no such answer was begun
	answerBegun                       // incomplete: the connection must end with a reset
	answerComplete                    // the handler has written all of it, perhaps to a buffer
)

// newCallerConnection wraps an accepted connection, whose responses the group buffers.
func newCallerConnection(accepted net.Conn, buffers *writebehind.Group) *callerConnection {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return &callerConnection{Conn: buffers.Wrap(accepted)}
	}
	socket := &callerSocket{TCPConn: tcp}
	return &callerConnection{Conn: buffers.Wrap(socket), socket: socket}
}

// expectAnswer must be called before the first byte of an answer that ends with the connection.
func (s *callerSocket) expectAnswer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state = answerBegun
	_ = s.SetLinger(0) // fails only if the connection is closed already
}

// completeAnswer records that the answer is complete. The connection still ends with a reset until Close
// or CloseWrite is called, which must be after the last byte was written.
func (s *callerSocket) completeAnswer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == answerBegun {
		s.state = answerComplete
	}
}

// Abort closes the connection with a reset.
func (s *callerSocket) Abort() error {
	_ = s.SetLinger(0) // fails only if the connection is closed already
	return s.TCPConn.Close()
}

// CloseWrite implements the method of net.TCPConn. It does nothing while an answer is incomplete.
func (s *callerSocket) CloseWrite() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == answerBegun {
		return nil
	}
	return s.closeWrite()
}

// closeWrite sends the end of the connection, which then no longer ends with a reset.
func (s *callerSocket) closeWrite() error {
	const kernelDefault = -1
	if s.state == answerComplete {
		if err := s.SetLinger(kernelDefault); err != nil {
			return err
		}
	}
	return s.TCPConn.CloseWrite()
}

// Close implements net.Conn. It resets the connection if an answer is incomplete. After a complete answer
// it sends the end of the connection at once, but goes on reading for a while: closing with unread bytes
// would reset the connection, and the caller might lose the end of the answer.
func (s *callerSocket) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state != answerComplete {
		return s.TCPConn.Close()
	}
	if err := s.closeWrite(); err != nil {
		return s.TCPConn.Close()
	}
	go s.discardInput()
	return nil
}

// discardInput reads until the caller closes the connection, at most for maxWait, and closes it.
func (s *callerSocket) discardInput() {
	const maxWait = 500 * time.Millisecond
	if s.SetReadDeadline(time.Now().Add(maxWait)) == nil {
		_, _ = io.Copy(io.Discard, s.TCPConn) // ends with an error at the deadline
	}
	_ = s.TCPConn.Close()
}

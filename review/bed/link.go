package bed

import (
	"errors"
	"net"
	"sync"
)

// Link is a proxy between two processes. Its open connections can go silent: they stay open, and nothing
// passes any more, while new connections work.
type Link struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	open  []*passage
}

// passage is one connection through a link.
type passage struct {
	mutex  sync.Mutex
	silent bool
}

// NewLink starts a proxy in front of the target at a free loopback address.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target}
	go func() {
		for {
			accepted, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go l.pass(accepted)
			}
		}
	}()
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops accepting connections.
func (l *Link) Close() { _ = l.listener.Close() }

// Silence makes the open connections silent, and returns how many there are.
func (l *Link) Silence() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.open {
		each.mutex.Lock()
		each.silent = true
		each.mutex.Unlock()
	}
	return len(l.open)
}

func (l *Link) pass(accepted net.Conn) {
	defer func() { _ = accepted.Close() }() // nothing follows
	dialed, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = dialed.Close() }() // nothing follows
	current := &passage{}
	l.mutex.Lock()
	l.open = append(l.open, current)
	l.mutex.Unlock()
	defer l.remove(current)
	ended := make(chan struct{}, 2)
	go func() {
		current.copy(dialed, accepted)
		ended <- struct{}{}
	}()
	go func() {
		current.copy(accepted, dialed)
		ended <- struct{}{}
	}()
	<-ended
	current.mutex.Lock()
	silent := current.silent
	current.mutex.Unlock()
	if silent {
		<-ended // one side has closed; the other one hears nothing of it
	}
}

func (l *Link) remove(ended *passage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for index, each := range l.open {
		if each == ended {
			l.open = append(l.open[:index], l.open[index+1:]...)
			return
		}
	}
}

// copy passes bytes on until one side closes. While the connection is silent, it drops them.
func (p *passage) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		p.mutex.Lock()
		silent := p.silent
		p.mutex.Unlock()
		if !silent && count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

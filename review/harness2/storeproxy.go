package harness2

import (
	"io"
	"net"
	"sync"
)

// StoreProxy stands between the gateways and the store. While it is down it resets every connection.
type StoreProxy struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	isDown      bool
	connections map[*net.TCPConn]bool
}

// StartStoreProxy starts a proxy before the store, by which the gateways that are started next reach it.
func (b *Bench) StartStoreProxy() (*StoreProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &StoreProxy{listener: listener, target: b.storeAddress, connections: map[*net.TCPConn]bool{}}
	b.StoreAddress = listener.Addr().String()
	go proxy.accept()
	return proxy, nil
}

// SetDown sets whether the store is down.
func (p *StoreProxy) SetDown(isDown bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isDown = isDown
	if !isDown {
		return
	}
	for connection := range p.connections {
		reset(connection)
	}
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

func (p *StoreProxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		connection, isTCP := accepted.(*net.TCPConn)
		if !isTCP {
			continue
		}
		go p.serve(connection)
	}
}

// register returns false if the store is down.
func (p *StoreProxy) register(connection *net.TCPConn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isDown {
		p.connections[connection] = true
	}
	return !p.isDown
}

func (p *StoreProxy) serve(connection *net.TCPConn) {
	if !p.register(connection) {
		reset(connection)
		return
	}
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.connections, connection)
	}()
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(connection)
		return
	}
	go func() {
		_, _ = io.Copy(store, connection)
		_ = store.Close()
	}()
	_, _ = io.Copy(connection, store)
	_ = connection.Close()
	_ = store.Close()
}

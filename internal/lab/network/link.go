package network

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readBytes       = 32 << 10 // maximum size of a chunk
	maxQueuedChunks = 256      // for each direction of a connection
)

// Link is an address that forwards connections to one process of a zone. Safe for
// concurrent use.
type Link struct {
	Address string // "ip:port"; constant once NewLink has returned
	network *Network
	zone    string
	target  string // "ip:port"

	mutex       sync.Mutex
	listener    net.Listener // nil while the link is down
	connections map[net.Conn]struct{}
}

// NewLink listens at the address and forwards connections to the target, which
// is in the zone. Both are "ip:port"; port 0 in the address selects a free port.
func (n *Network) NewLink(address, target, zone string) (*Link, error) {
	link := &Link{Address: address, network: n, zone: zone, target: target, connections: map[net.Conn]struct{}{}}
	if err := link.Up(); err != nil {
		return nil, err
	}
	link.Address = link.listener.Addr().String() // the kernel may have chosen the port
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links = append(n.links, link)
	return link, nil
}

// URL returns the base URL of the link, without a trailing slash.
func (l *Link) URL() string { return "http://" + l.Address }

// Up listens at the address again after Down. It does nothing if the link is up.
func (l *Link) Up() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", l.Address)
	if err != nil {
		return eris.Wrapf(err, "listen for a link at %s", l.Address)
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Down closes the listener and all connections, as if the target's machine had
// failed. New connections are refused until Up.
func (l *Link) Down() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener == nil {
		return
	}
	_ = l.listener.Close()
	l.listener = nil
	for connection := range l.connections {
		_ = connection.Close()
	}
	l.connections = map[net.Conn]struct{}{}
}

func (l *Link) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(connection)
	}
}

// track registers the connection so that Down closes it. If the link is already
// down, it closes the connection and returns false.
func (l *Link) track(connection net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener == nil {
		_ = connection.Close()
		return false
	}
	l.connections[connection] = struct{}{}
	return true
}

// untrack closes the connection and removes its registration.
func (l *Link) untrack(connection net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = connection.Close()
	delete(l.connections, connection)
}

// forward forwards one connection until both directions have ended.
func (l *Link) forward(incoming net.Conn) {
	if !l.track(incoming) {
		return
	}
	defer l.untrack(incoming)
	source := l.network.sourceZone(incoming)
	if !l.network.waitReachable(source, l.zone) {
		return
	}
	outgoing, err := net.Dial("tcp4", l.target)
	if err != nil || !l.track(outgoing) {
		return
	}
	defer l.untrack(outgoing)
	var both sync.WaitGroup
	both.Go(func() { l.network.pipe(incoming, outgoing, source, l.zone) })
	both.Go(func() { l.network.pipe(outgoing, incoming, l.zone, source) })
	both.Wait()
}

// chunk is a piece of a byte stream and the time at which it is to be delivered.
type chunk struct {
	due   time.Time
	bytes []byte
}

// pipe forwards one direction of a connection with the delay between the zones.
// It holds bytes back while the zones are isolated from each other.
func (n *Network) pipe(from, to net.Conn, fromZone, toZone string) {
	chunks := make(chan chunk, maxQueuedChunks)
	stopped := make(chan struct{})
	go readChunks(from, chunks, stopped, n.delay(fromZone, toZone))
	defer close(stopped)
	for next := range chunks {
		time.Sleep(time.Until(next.due))
		if !n.waitReachable(fromZone, toZone) {
			return
		}
		if _, err := to.Write(next.bytes); err != nil {
			_ = from.Close()
			return
		}
	}
	if n.waitReachable(fromZone, toZone) {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}

// readChunks reads from the connection and queues chunks that are due after the
// delay. It returns when the connection ends, or when the channel "stopped" is closed
// while a chunk waits for room in the queue. On return it closes the queue.
func readChunks(from net.Conn, chunks chan<- chunk, stopped <-chan struct{}, delay time.Duration) {
	defer close(chunks)
	for {
		buffer := make([]byte, readBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			select {
			case chunks <- chunk{due: time.Now().Add(delay), bytes: buffer[:count]}:
			case <-stopped:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

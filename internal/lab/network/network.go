// Package network emulates the network between the zones of a deployment whose
// processes run on one machine. It forwards TCP connections with a delay and can
// isolate zones: bytes are then held back, but connections stay open. It asks
// the Linux kernel which process opened a connection, so the processes need no
// configuration for that.
package network

import (
	"sync"
	"time"
)

// ZoneClients is the zone of every process that is not registered, such as callers
// and operators.
const ZoneClients = "clients"

// Options configure the one-way delays of a network.
type Options struct {
	ZoneDelay   time.Duration // between different zones other than ZoneClients
	ClientDelay time.Duration // between ZoneClients and any zone, in either direction
}

// Network forwards connections between zones. Safe for concurrent use.
type Network struct {
	options Options

	mutex    sync.Mutex
	zones    map[int]string // by process ID
	isolated map[string]bool
	changed  chan struct{} // closed and replaced when the isolation of a zone ends
	closed   chan struct{} // closed by Close
	links    []*Link
}

// New returns a network without links or isolated zones.
func New(options Options) *Network {
	return &Network{
		options:  options,
		zones:    map[int]string{},
		isolated: map[string]bool{},
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// Register sets the zone of the process with this process ID.
func (n *Network) Register(process int, zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[process] = zone
}

// Unregister removes a process, so that its new connections count as those of
// ZoneClients.
func (n *Network) Unregister(process int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.zones, process)
}

// Isolate holds back all bytes between the zone and the other zones except
// ZoneClients, until Heal.
func (n *Network) Isolate(zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[zone] = true
}

// Heal ends the isolation of the zone. Bytes that were held back are delivered,
// unless the other zone is isolated as well.
func (n *Network) Heal(zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.isolated, zone)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close takes all links down. It must be called once.
func (n *Network) Close() {
	n.mutex.Lock()
	links := n.links
	n.mutex.Unlock()
	close(n.closed)
	for _, link := range links {
		link.Down()
	}
}

// zonesByProcess returns a copy of the map from process ID to zone.
func (n *Network) zonesByProcess() map[int]string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	zones := make(map[int]string, len(n.zones))
	for process, zone := range n.zones {
		zones[process] = zone
	}
	return zones
}

// delay returns the one-way delay between two zones.
func (n *Network) delay(from, to string) time.Duration {
	switch {
	case from == ZoneClients || to == ZoneClients:
		return n.options.ClientDelay
	case from == to:
		return 0
	default:
		return n.options.ZoneDelay
	}
}

// waitReachable blocks while one of the zones is isolated, unless they are the same
// zone or one of them is ZoneClients. It returns false if the network is closed
// meanwhile.
func (n *Network) waitReachable(from, to string) bool {
	for {
		n.mutex.Lock()
		separate := from != to && from != ZoneClients && to != ZoneClients
		cut := separate && (n.isolated[from] || n.isolated[to])
		changed := n.changed
		n.mutex.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-n.closed:
			return false
		}
	}
}

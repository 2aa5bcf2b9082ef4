package peer

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// classCount is the number of classes; valid classes are smaller.
const classCount = 3

// String returns the value of the "class" label in metrics.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassLog:
		return "log"
	case ClassData:
		return "data"
	}
	return "unknown"
}

// TrafficKey identifies the traffic of one service in one class.
type TrafficKey struct {
	Class   Class
	Service string // the part of the method name before the dot
}

// Traffic counts messages (requests and replies) and their gob-encoded bytes,
// without the overhead of TCP, IP and TLS.
type Traffic struct {
	MessagesSent     uint64
	BytesSent        uint64
	MessagesReceived uint64
	BytesReceived    uint64
}

// Add returns the sums of the counts in both values.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{
		MessagesSent:     t.MessagesSent + other.MessagesSent,
		BytesSent:        t.BytesSent + other.BytesSent,
		MessagesReceived: t.MessagesReceived + other.MessagesReceived,
		BytesReceived:    t.BytesReceived + other.BytesReceived,
	}
}

// Stats is the state of a Pool or a Server at one moment.
type Stats struct {
	Connections int                    // open connections; a pool includes those that it is dialing
	Traffic     map[TrafficKey]Traffic // since the creation of the pool or server
}

// ClassTraffic returns the traffic of all services in one class.
func (s Stats) ClassTraffic(class Class) Traffic {
	var sum Traffic
	for key, traffic := range s.Traffic {
		if key.Class == class {
			sum = sum.Add(traffic)
		}
	}
	return sum
}

type trafficCounters struct {
	messagesSent, bytesSent, messagesReceived, bytesReceived atomic.Uint64
}

// statistics holds the counters of a Pool or a Server. It implements
// prometheus.Collector and is safe for concurrent use.
type statistics struct {
	counters        sync.Map // maps TrafficKey to *trafficCounters
	connections     atomic.Int64
	messages        *prometheus.Desc
	bytes           *prometheus.Desc
	openConnections *prometheus.Desc
}

// newStatistics returns counters and registers their metrics, unless the registerer
// is nil. The side, "client" or "server", is a constant label of all metrics. If the
// registration fails, newStatistics returns the counters as well as the error.
func newStatistics(side string, registerer prometheus.Registerer) (*statistics, error) {
	labels := []string{"class", "service", "direction"}
	constLabels := prometheus.Labels{"side": side}
	s := &statistics{
		messages:        prometheus.NewDesc("thymeloft_peer_messages_total", "Messages between daemons.", labels, constLabels),
		bytes:           prometheus.NewDesc("thymeloft_peer_bytes_total", "Encoded bytes between daemons.", labels, constLabels),
		openConnections: prometheus.NewDesc("thymeloft_peer_connections", "Open connections between daemons.", nil, constLabels),
	}
	if registerer == nil {
		return s, nil
	}
	return s, eris.Wrap(registerer.Register(s), "register peer metrics")
}

// countersFor returns the counters of the method's service in the class.
func (s *statistics) countersFor(class Class, method string) *trafficCounters {
	service, _, _ := strings.Cut(method, ".")
	key := TrafficKey{Class: class, Service: service}
	if found, ok := s.counters.Load(key); ok {
		return found.(*trafficCounters)
	}
	found, _ := s.counters.LoadOrStore(key, new(trafficCounters))
	return found.(*trafficCounters)
}

func (s *statistics) countSent(class Class, method string, bytes int) {
	counters := s.countersFor(class, method)
	counters.messagesSent.Add(1)
	counters.bytesSent.Add(uint64(bytes))
}

func (s *statistics) countReceived(class Class, method string, bytes int64) {
	counters := s.countersFor(class, method)
	counters.messagesReceived.Add(1)
	counters.bytesReceived.Add(uint64(bytes))
}

func (s *statistics) snapshot() Stats {
	stats := Stats{Connections: int(s.connections.Load()), Traffic: map[TrafficKey]Traffic{}}
	s.counters.Range(func(key, value any) bool {
		counters := value.(*trafficCounters)
		stats.Traffic[key.(TrafficKey)] = Traffic{
			MessagesSent:     counters.messagesSent.Load(),
			BytesSent:        counters.bytesSent.Load(),
			MessagesReceived: counters.messagesReceived.Load(),
			BytesReceived:    counters.bytesReceived.Load(),
		}
		return true
	})
	return stats
}

// Describe implements prometheus.Collector.
func (s *statistics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- s.messages
	descriptions <- s.bytes
	descriptions <- s.openConnections
}

// Collect implements prometheus.Collector.
func (s *statistics) Collect(metrics chan<- prometheus.Metric) {
	stats := s.snapshot()
	metrics <- prometheus.MustNewConstMetric(s.openConnections, prometheus.GaugeValue, float64(stats.Connections))
	for key, traffic := range stats.Traffic {
		class := key.Class.String()
		metrics <- newCounterMetric(s.messages, traffic.MessagesSent, class, key.Service, "sent")
		metrics <- newCounterMetric(s.messages, traffic.MessagesReceived, class, key.Service, "received")
		metrics <- newCounterMetric(s.bytes, traffic.BytesSent, class, key.Service, "sent")
		metrics <- newCounterMetric(s.bytes, traffic.BytesReceived, class, key.Service, "received")
	}
}

func newCounterMetric(description *prometheus.Desc, value uint64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
}

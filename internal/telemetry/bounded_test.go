package telemetry_test

import (
	"bytes"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// stuckOutput takes nothing until it is released.
type stuckOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *stuckOutput) Write(line []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

// droppedLines sums what the logger counted as left out.
func droppedLines(g Gomega, registry *prometheus.Registry) (sum float64) {
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}

// TestBoundedNeverBlocks writes far more than fits to an output that hangs.
func TestBoundedNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	output := &stuckOutput{release: make(chan struct{})}
	registry := prometheus.NewRegistry()
	log, closeLog := telemetry.NewBounded(output, 0, registry)
	const lines = 5000
	for range lines {
		log.Warn("test: a line.")
	}
	dropped := droppedLines(g, registry)
	close(output.release)
	closeLog()
	output.mutex.Lock()
	defer output.mutex.Unlock()
	written := bytes.Count(output.written.Bytes(), []byte("\n"))
	g.Expect(dropped).To(BeNumerically(">", 0))
	g.Expect(float64(written) + dropped).To(BeNumerically("<=", lines))
}

// TestBoundedKeepsFailures bounds the lines of successes and no others.
func TestBoundedKeepsFailures(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	registry := prometheus.NewRegistry()
	log, closeLog := telemetry.NewBounded(&output, 5, registry)
	const lines = 300
	for range lines {
		log.Info("test: a success.")
		log.Warn("test: a failure.")
	}
	closeLog()
	g.Expect(bytes.Count(output.Bytes(), []byte("a failure"))).To(Equal(lines))
	successes := bytes.Count(output.Bytes(), []byte("a success"))
	g.Expect(successes).To(BeNumerically(">=", 5))
	g.Expect(successes).To(BeNumerically("<", lines))
}

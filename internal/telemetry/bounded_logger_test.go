package telemetry_test

import (
	"bytes"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// blockedOutput is a writer that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(line []byte) (int, error) {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.written.Write(line)
}

// countDroppedLines returns the number of lines that the logger counted as dropped.
func countDroppedLines(g Gomega, registry *prometheus.Registry) (sum float64) {
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}

// TestBoundedNeverBlocks checks that logging to a blocked output does not block, and
// that lines beyond the queue size are counted as dropped.
func TestBoundedNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	output := &blockedOutput{release: make(chan struct{})}
	registry := prometheus.NewRegistry()
	log, closeLog := telemetry.NewBoundedLogger(output, 0, registry)
	const lines = 5000
	for range lines {
		log.Warn("test: a line.")
	}
	dropped := countDroppedLines(g, registry)
	close(output.release)
	closeLog()
	output.mutex.Lock()
	defer output.mutex.Unlock()
	written := bytes.Count(output.written.Bytes(), []byte("\n"))
	g.Expect(dropped).To(BeNumerically(">", 0))
	g.Expect(float64(written) + dropped).To(BeNumerically("<=", lines))
}

// TestBoundedKeepsFailures checks that the rate limit drops info lines, which stand for
// successes, but no warnings, which stand for failures.
func TestBoundedKeepsFailures(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	registry := prometheus.NewRegistry()
	log, closeLog := telemetry.NewBoundedLogger(&output, 5, registry)
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

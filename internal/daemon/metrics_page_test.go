package daemon_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/daemon"
)

const (
	metricsPage  = "../../docs/operations/metrics.md"
	metricsBegin = "<!-- begin of the reference, checked by a test -->\n"
	metricsEnd   = "<!-- end of the reference -->\n"
)

var description = regexp.MustCompile(`fqName: "(thymeloft_[a-z_]+)", help: "(.*?)", .*variableLabels: {(.*?)}`)

// metricRows gives a table row for each metric of a daemon's own parts.
func metricRows(described prometheus.Collector) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		described.Describe(descriptions)
	}()
	var rows []string
	for found := range descriptions {
		parts := description.FindStringSubmatch(found.String())
		if parts != nil {
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", parts[1], strings.ReplaceAll(parts[3], ",", ", "), parts[2]))
		}
	}
	slices.Sort(rows)
	return slices.Compact(rows)
}

var _ = Describe("the operators' page of metrics", func() {
	It("lists every metric with its labels and meaning", func() {
		page, err := os.ReadFile(metricsPage)
		Expect(err).NotTo(HaveOccurred())
		_, rest, found := strings.Cut(string(page), metricsBegin)
		Expect(found).To(BeTrue(), "no begin of the reference")
		table, _, found := strings.Cut(rest, metricsEnd)
		Expect(found).To(BeTrue(), "no end of the reference")
		created, err := daemon.New(settingsOf(0, 1, "127.0.0.1:1"), newStore, logger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(created.Close)
		expected := "| metric | labels | meaning |\n| --- | --- | --- |\n" + strings.Join(metricRows(created.Metrics()), "")
		Expect(table).To(Equal(expected), "the table should be:\n"+expected)
	})
})

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
	metricsPage       = "../../docs/operations/metrics.md"
	metricsTableBegin = "<!-- begin of the reference, checked by a test -->\n"
	metricsTableEnd   = "<!-- end of the reference -->\n"
)

var descriptorPattern = regexp.MustCompile(`fqName: "(thymeloft_[a-z_]+)", help: "(.*?)", .*variableLabels: {(.*?)}`)

// metricRows returns the rows of the page's table in order: one row for each
// metric of the collector whose name begins with "thymeloft_".
func metricRows(collector prometheus.Collector) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		collector.Describe(descriptions)
	}()
	var rows []string
	for descriptor := range descriptions {
		match := descriptorPattern.FindStringSubmatch(descriptor.String())
		if match != nil {
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", match[1], strings.ReplaceAll(match[3], ",", ", "), match[2]))
		}
	}
	slices.Sort(rows)
	return slices.Compact(rows)
}

var _ = Describe("the operators' metrics page", func() {
	It("lists every metric with its labels and meaning", func() {
		page, err := os.ReadFile(metricsPage)
		Expect(err).NotTo(HaveOccurred())
		_, rest, found := strings.Cut(string(page), metricsTableBegin)
		Expect(found).To(BeTrue(), "the page has no marker for the start of the table")
		table, _, found := strings.Cut(rest, metricsTableEnd)
		Expect(found).To(BeTrue(), "the page has no marker for the end of the table")
		created, err := daemon.New(settingsForMember(0, 1, "127.0.0.1:1"), newStore, logger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(created.Close)
		expected := "| metric | labels | meaning |\n| --- | --- | --- |\n" + strings.Join(metricRows(created.Metrics()), "")
		Expect(table).To(Equal(expected), "the table should be:\n"+expected)
	})
})

// Package soak_test runs the soak with the seeds in seeds.txt.
package soak_test

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/thymeloft/thymeloft/internal/lab/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak seeds")
}

var gatewayBinary string

var _ = BeforeSuite(func() {
	var err error
	gatewayBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway", "-race")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// seedEntries returns a table entry for each seed in seeds.txt. It panics if the file
// cannot be read or a line is malformed.
func seedEntries() (entries []TableEntry) {
	file, err := os.Open("seeds.txt")
	if err != nil {
		panic(err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "#") || strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		fields := strings.SplitN(scanner.Text(), ";", 3)
		seed, seedErr := strconv.ParseUint(strings.TrimSpace(fields[0]), 10, 64)
		seconds, secondsErr := strconv.Atoi(strings.TrimSpace(fields[1]))
		if seedErr != nil || secondsErr != nil {
			panic(scanner.Text())
		}
		entries = append(entries, Entry("of seed "+strings.TrimSpace(fields[0]), seed, seconds))
	}
	return entries
}

var _ = DescribeTable("every guarantee holds under the faults",
	func(ctx SpecContext, seed uint64, seconds int) {
		verdict, err := soak.Run(ctx, soak.Options{
			GatewayBinary: gatewayBinary, Seed: seed, Duration: time.Duration(seconds) * time.Second, Gateways: 3, Callers: 4, SkipTimingChecks: true,
			Environment: []string{"GORACE=halt_on_error=1"}, // a data race ends the gateway, which is a finding
			Progress:    func(format string, arguments ...any) { GinkgoWriter.Printf(format+"\n", arguments...) },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Findings).To(BeEmpty())
	},
	seedEntries(),
)

// Package soak_test plays the seeds of the soak that are kept.
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
	RunSpecs(t, "kept seeds of the soak")
}

var gatewayBinary string

var _ = BeforeSuite(func() {
	var err error
	gatewayBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway", "-race")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// kept reads the lines of seeds.txt.
func kept() (entries []TableEntry) {
	file, err := os.Open("seeds.txt")
	if err != nil {
		panic(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") || strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		fields := strings.SplitN(lines.Text(), ";", 3)
		seed, seedErr := strconv.ParseUint(strings.TrimSpace(fields[0]), 10, 64)
		seconds, secondsErr := strconv.Atoi(strings.TrimSpace(fields[1]))
		if seedErr != nil || secondsErr != nil {
			panic(lines.Text())
		}
		entries = append(entries, Entry("of seed "+strings.TrimSpace(fields[0]), seed, seconds))
	}
	return entries
}

var _ = DescribeTable("every promise holds under the faults",
	func(ctx SpecContext, seed uint64, seconds int) {
		verdict, err := soak.Run(ctx, soak.Options{
			Binary: gatewayBinary, Seed: seed, Duration: time.Duration(seconds) * time.Second, Gateways: 3, Callers: 4, Untimed: true,
			Environment: []string{"GORACE=halt_on_error=1"}, // a data race ends the process, which is a finding
			Progress:    func(format string, arguments ...any) { GinkgoWriter.Printf(format+"\n", arguments...) },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Findings).To(BeEmpty())
	},
	kept(),
)

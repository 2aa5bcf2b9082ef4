// Package soak_test runs the soak with the seeds in seeds.txt.
package soak_test

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
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

var gatewayBinary, previousBinary string

var _ = BeforeSuite(func(ctx SpecContext) {
	var err error
	gatewayBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway", "-race")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
	previousBinary = buildPrevious(ctx)
})

// previousCommit is the landing before this one, from which fleets are upgraded.
const previousCommit = "ed6106b14d236e3f6cb2b412f47b5da68717d5c0"

// buildPrevious builds the gateway of previousCommit from the repository's history and returns the
// path of the binary. In a shallow clone, which lacks that history, it returns the present gateway.
func buildPrevious(ctx context.Context) string {
	GinkgoHelper()
	const root = "../.."
	shallow, err := exec.CommandContext(ctx, "git", "-C", root, "rev-parse", "--is-shallow-repository").Output()
	Expect(err).NotTo(HaveOccurred())
	if strings.TrimSpace(string(shallow)) == "true" {
		AddReportEntry("the clone is shallow: upgrades are played from the present build")
		return gatewayBinary
	}
	directory := GinkgoT().TempDir()
	source := filepath.Join(directory, "source.tar")
	binary := filepath.Join(directory, "thymeloft-gateway")
	for _, command := range []*exec.Cmd{
		exec.CommandContext(ctx, "git", "-C", root, "archive", "--output", source, previousCommit),
		exec.CommandContext(ctx, "tar", "-x", "-f", source, "-C", directory),
		exec.CommandContext(ctx, "go", "build", "-C", directory, "-race", "-o", binary, "./cmd/thymeloft-gateway"),
	} {
		output, err := command.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), "%s: %s", command, output)
	}
	return binary
}

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

// play runs the soak and fails if a guarantee was broken.
func play(ctx context.Context, options soak.Options) {
	GinkgoHelper()
	options.GatewayBinary, options.Gateways, options.Callers, options.SkipTimingChecks = gatewayBinary, 3, 4, true
	options.Environment = []string{"GORACE=halt_on_error=1"} // a data race ends the gateway, which is a finding
	options.Progress = func(format string, arguments ...any) { GinkgoWriter.Printf(format+"\n", arguments...) }
	verdict, err := soak.Run(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	Expect(verdict.Findings).To(BeEmpty())
}

var _ = DescribeTable("every guarantee holds under the faults",
	func(ctx SpecContext, seed uint64, seconds int) {
		play(ctx, soak.Options{Seed: seed, Duration: time.Duration(seconds) * time.Second})
	},
	seedEntries(),
)

var _ = It("every guarantee holds while the gateways of the landing before are replaced", func(ctx SpecContext) {
	play(ctx, soak.Options{Seed: 2, Duration: 20 * time.Second, PreviousBinary: previousBinary})
})

// Package replay_test replays the traces in traces/ and random traces with real daemon
// processes.
package replay_test

import (
	"context"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/thymeloft/thymeloft/internal/lab/replay"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

var daemonBinary string

var _ = BeforeSuite(func() {
	var err error
	daemonBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloftd")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

func replayFile(ctx context.Context, name string) *replay.Verdict {
	trace, err := replay.Load(filepath.Join("traces", name+".yaml"))
	Expect(err).NotTo(HaveOccurred())
	return replayTrace(ctx, trace)
}

func replayTrace(ctx context.Context, trace replay.Trace) *replay.Verdict {
	verdict, err := replay.Run(ctx, trace, replay.Options{
		DaemonBinary: daemonBinary,
		Progress:     func(format string, arguments ...any) { GinkgoWriter.Printf(format+"\n", arguments...) },
	})
	Expect(err).NotTo(HaveOccurred())
	return verdict
}

var _ = DescribeTable("every guarantee holds in the trace",
	func(ctx SpecContext, name string) {
		verdict := replayFile(ctx, name)
		Expect(verdict.Findings()).To(BeEmpty())
		Expect(verdict.Passed()).To(BeTrue())
	},
	Entry("of Brackenlaw's deployment", "brackenlaw"),
	Entry("of the Theory Desk's deployment", "theory-desk"),
	Entry("of a leader killed at each step", "leader-kill"),
	Entry("of a leader killed at each step while the store is unavailable", "leader-kill-store-down"),
	Entry("of two of three daemons killed before the first is replaced", "quorum-loss"),
	Entry("of all daemons killed at once", "total-loss"),
	Entry("of a new leader whose log is behind", "stale-follower"),
	Entry("of a leader frozen past its lease", "freeze"),
	Entry("of a zone that is cut off and heals", "zone-cut"),
	Entry("of answers that back ends lose", "lost-answers"),
	Entry("of calls out of order and late answers", "disorder"),
	Entry("of sub-agents on one budget", "budget"),
	Entry("of operators who race", "configuration-race"),
	Entry("of engines that miss releases", "engine-memory"),
	Entry("of back ends that leave", "leaving"),
	Entry("of planned stops under load", "planned-stop"),
	Entry("of runaways", "runaways"),
)

var _ = DescribeTable("every guarantee holds under random faults",
	func(ctx SpecContext, seed int) {
		verdict := replayTrace(ctx, replay.RandomTrace(uint64(seed)))
		Expect(verdict.Findings()).To(BeEmpty())
	},
	Entry("of seed 2", 2),
	Entry("of seed 5", 5),
	Entry("of seed 7", 7),
	Entry("of seed 11", 11),
)

var _ = It("gives the same verdict when a trace is replayed again", func(ctx SpecContext) {
	Expect(replayFile(ctx, "theory-desk").String()).To(Equal(replayFile(ctx, "theory-desk").String()))
})

// Package experiment runs generated traces in virtual time on emulated engines,
// with baseline strategies and with thymeloft's own scheduling policy, and
// compares them in a report. The same options give the same results on any
// machine.
package experiment

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Settings are the parameters of a run besides its trace and strategy.
type Settings struct {
	Scheduling scheduling.Settings
	JoinCopies bool // baselines do not execute the copy of a call that the caller sends again
	RunCopies  bool // thymeloft also runs the copies of calls that callers send again
	NoLease    bool // thymeloft leases no cached history during pauses
	NoRelease  bool // thymeloft does not release the cache of ended programs, so it stays until evicted
	NoSketch   bool // thymeloft does not know which engines hold shared prefixes
	// GlobalIndex makes thymeloft use the actual holders of shared prefixes at
	// the time of the decision, instead of its sketch.
	GlobalIndex bool
	// ReportLag is the time until a load report has reached the daemons; 0 means
	// 250 ms.
	ReportLag time.Duration
	// MemoryShare multiplies the CacheTokens of every engine; 0 means 1.
	MemoryShare float64
}

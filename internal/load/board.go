package load

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// pictureKept is how long a sum is given out before it is made anew, so that an
// aggregator's work grows with its reporters and not with their square.
const pictureKept = 20 * time.Millisecond

// Board is an aggregator's sums. Every daemon has one: it is an aggregator while
// others report to it. It is safe for concurrent use.
type Board struct {
	now func() time.Time

	mutex   sync.Mutex
	reports map[string]heard // by member
	shares  map[string]heard // by aggregator
	sum     Told             // of reports and shares
	summed  map[string]Told  // the reports in it
	sumAt   time.Time
	// outsideHeard is when an aggregator of another group last answered this one; zero:
	// none did since this daemon aggregates.
	outsideHeard time.Time
}

// heard is what a daemon or an aggregator last told.
type heard struct {
	told Told
	at   time.Time
}

// NewBoard makes an empty board.
func NewBoard(now func() time.Time) *Board {
	return &Board{now: now, reports: map[string]heard{}, shares: map[string]heard{}}
}

// Report is called by daemons of the own group.
func (b *Board) Report(report Sample, picture *Picture) error {
	if err := check(report.Told); err != nil {
		return eris.Wrapf(err, "report of %s", report.Member)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.reports[report.Member] = heard{told: report.Told, at: now}
	if now.Sub(b.sumAt) >= pictureKept || b.summed == nil {
		b.makeSum(now)
	}
	picture.All = b.sum
	picture.Own = b.summed[report.Member]
	picture.Outside = b.outside(now)
	return nil
}

// outside is how long the other groups have been silent; the lock is held.
func (b *Board) outside(now time.Time) Silence {
	if b.outsideHeard.IsZero() {
		return Silence{}
	}
	return Silence{Heard: true, Lasted: now.Sub(b.outsideHeard)}
}

// heardOutside notes that an aggregator of another group answered.
func (b *Board) heardOutside() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outsideHeard = b.now()
}

// forgetOutside is called while this daemon does not aggregate.
func (b *Board) forgetOutside() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outsideHeard = time.Time{}
}

// Share is called by other aggregators.
func (b *Board) Share(share Share, _ *ShareReply) error {
	if err := check(share.Told); err != nil {
		return eris.Wrapf(err, "share of %s", share.Aggregator)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.shares[share.Aggregator] = heard{told: share.Told, at: b.now()}
	return nil
}

// makeSum adds up all that is fresh; the lock is held.
func (b *Board) makeSum(now time.Time) {
	all := newSum()
	b.summed = make(map[string]Told, len(b.reports))
	b.addReports(all, now)
	for aggregator, share := range b.shares {
		if now.Sub(share.at) > shareKept {
			delete(b.shares, aggregator)
			continue
		}
		_ = all.add(share.told) // was read whole when it came
	}
	for member, report := range b.reports {
		b.summed[member] = report.told
	}
	b.sum, b.sumAt = all.told(b.programs(now, true)), now
}

// addReports adds the fresh reports; the lock is held.
func (b *Board) addReports(all *sum, now time.Time) {
	for member, report := range b.reports {
		if now.Sub(report.at) > reportKept {
			delete(b.reports, member)
			continue
		}
		_ = all.add(report.told) // was read whole when it came
	}
}

// reporters counts the daemons that report here.
func (b *Board) reporters() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.reports)
}

// share sums the reports alone, and counts them: none if this daemon aggregates
// for nobody.
func (b *Board) share() (told Told, reporters int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := newSum()
	now := b.now()
	b.addReports(all, now)
	return all.told(b.programs(now, false)), len(b.reports)
}

package load

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// sumTTL is how long the sums are reused before they are computed again. It makes an aggregator's
// work grow linearly, not quadratically, with the number of daemons that report to it.
const sumTTL = 20 * time.Millisecond

// Board holds the reports and shares that an aggregator received, and sums them. Every daemon has
// one, since any daemon becomes an aggregator once others report to it. It is safe for concurrent
// use.
type Board struct {
	now func() time.Time

	mutex         sync.Mutex
	reports       map[string]received     // by the reporting daemon's machine
	shares        map[string]received     // by the sending aggregator's machine
	sum           EncodedStats            // over reports and shares
	summedReports map[string]EncodedStats // the reports that sum includes, by machine
	summedAt      time.Time
	// lastOutsideContact is when an aggregator of another group last answered this one. It is zero
	// if none has since this daemon became an aggregator.
	lastOutsideContact time.Time
}

// received is the last report of a daemon, or the last share of an aggregator.
type received struct {
	stats EncodedStats
	at    time.Time
}

// NewBoard returns an empty board, which calls `now` for the current time.
func NewBoard(now func() time.Time) *Board {
	return &Board{now: now, reports: map[string]received{}, shares: map[string]received{}}
}

// Report is the RPC by which the daemons of this group report. It records the report and fills in
// the sums, which may be up to sumTTL old and then don't include this report. It returns an error
// if the report can't be decoded.
func (b *Board) Report(report ReportRequest, reply *ReportReply) error {
	if err := validateStats(report.Told); err != nil {
		return eris.Wrapf(err, "report of %s", report.Member)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.reports[report.Member] = received{stats: report.Told, at: now}
	if now.Sub(b.summedAt) >= sumTTL || b.summedReports == nil {
		b.rebuildSum(now)
	}
	reply.All = b.sum
	reply.Own = b.summedReports[report.Member]
	reply.Outside = b.sinceOutsideContact(now)
	return nil
}

// sinceOutsideContact returns the time since another group was last reached. The caller holds the
// mutex.
func (b *Board) sinceOutsideContact(now time.Time) OutsideContact {
	if b.lastOutsideContact.IsZero() {
		return OutsideContact{}
	}
	return OutsideContact{Heard: true, Lasted: now.Sub(b.lastOutsideContact), Contact: b.lastOutsideContact.UnixNano()}
}

// recordOutsideContact records that an aggregator of another group has just answered.
func (b *Board) recordOutsideContact() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastOutsideContact = b.now()
}

// clearOutsideContact deletes the time of the last contact with another group. It is called while no
// daemon reports here.
func (b *Board) clearOutsideContact() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastOutsideContact = time.Time{}
}

// Share is the RPC by which other aggregators send their sums. It returns an error if they can't be
// decoded.
func (b *Board) Share(share Share, _ *ShareReply) error {
	if err := validateStats(share.Told); err != nil {
		return eris.Wrapf(err, "share of %s", share.Aggregator)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.shares[share.Aggregator] = received{stats: share.Told, at: b.now()}
	return nil
}

// rebuildSum computes the sums over all reports and shares that have not expired, and deletes those
// that have. The caller holds the mutex.
func (b *Board) rebuildSum(now time.Time) {
	total := newSum()
	b.summedReports = make(map[string]EncodedStats, len(b.reports))
	b.addReports(total, now)
	for aggregator, share := range b.shares {
		if now.Sub(share.at) > shareTTL {
			delete(b.shares, aggregator)
			continue
		}
		_ = total.add(share.stats) // was validated on arrival
	}
	for member, report := range b.reports {
		b.summedReports[member] = report.stats
	}
	b.sum, b.summedAt = total.encode(b.sumPrograms(now, true)), now
}

// addReports adds the reports that have not expired to total, and deletes those that have. The
// caller holds the mutex.
func (b *Board) addReports(total *sum, now time.Time) {
	for member, report := range b.reports {
		if now.Sub(report.at) > reportTTL {
			delete(b.reports, member)
			continue
		}
		_ = total.add(report.stats) // was validated on arrival
	}
}

// countReporters returns how many daemons report here. It may include daemons whose reports have
// expired since the sums were last computed.
func (b *Board) countReporters() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.reports)
}

// sumReports returns the sums over the reports, without the shares of other aggregators, and the
// number of daemons that report here (0 if this daemon is not an aggregator).
func (b *Board) sumReports() (stats EncodedStats, reporters int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := newSum()
	now := b.now()
	b.addReports(total, now)
	return total.encode(b.sumPrograms(now, false)), len(b.reports)
}

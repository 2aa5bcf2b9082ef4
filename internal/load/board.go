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
	sum     []byte           // of reports and shares, encoded
	summed  map[string][]byte
	sumAt   time.Time
}

// heard is what a daemon or an aggregator last told.
type heard struct {
	underWay []byte // Counts, encoded
	at       time.Time
}

// NewBoard makes an empty board.
func NewBoard(now func() time.Time) *Board {
	return &Board{now: now, reports: map[string]heard{}, shares: map[string]heard{}}
}

// Report is called by daemons of the own group.
func (b *Board) Report(report Sample, picture *Picture) error {
	if err := (Counts{}).add(report.UnderWay); err != nil {
		return eris.Wrapf(err, "report of %s", report.Member)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.reports[report.Member] = heard{underWay: report.UnderWay, at: now}
	if now.Sub(b.sumAt) >= pictureKept || b.summed == nil {
		b.makeSum(now)
	}
	picture.UnderWay = b.sum
	picture.Counted = b.summed[report.Member]
	return nil
}

// Share is called by other aggregators.
func (b *Board) Share(share Share, _ *ShareReply) error {
	if err := (Counts{}).add(share.UnderWay); err != nil {
		return eris.Wrapf(err, "share of %s", share.Aggregator)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.shares[share.Aggregator] = heard{underWay: share.UnderWay, at: b.now()}
	return nil
}

// makeSum adds up all that is fresh; the lock is held.
func (b *Board) makeSum(now time.Time) {
	counts := Counts{}
	b.summed = make(map[string][]byte, len(b.reports))
	b.addReports(counts, now)
	for aggregator, share := range b.shares {
		if now.Sub(share.at) > shareKept {
			delete(b.shares, aggregator)
			continue
		}
		_ = counts.add(share.underWay) // was read whole when it came
	}
	for member, report := range b.reports {
		b.summed[member] = report.underWay
	}
	b.sum, b.sumAt = counts.encode(), now
}

// addReports adds the fresh reports and forgets the others; the lock is held.
func (b *Board) addReports(counts Counts, now time.Time) {
	for member, report := range b.reports {
		if now.Sub(report.at) > reportKept {
			delete(b.reports, member)
			continue
		}
		_ = counts.add(report.underWay) // was read whole when it came
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
func (b *Board) share() (encoded []byte, reporters int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := Counts{}
	b.addReports(counts, b.now())
	return counts.encode(), len(b.reports)
}

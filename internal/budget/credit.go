package budget

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// A part of each budget is never granted by the store: one daemon may lend it
// while the store cannot be had, so that a program that begins in an outage
// does not wait for its end.
//
// Guarantee: what a program generates stays within its budget and the most of
// one turn. The store grants at most the budget less the part withheld, and one
// daemon lends at most the part withheld and the most of one turn. That there
// is one such daemon in all the time in which a program may come again is what
// mayLend promises (members.List.MayLend). What was lent needs no record: it is
// in nobody's grants.

// Of what a budget has beyond a small one, three tenths are withheld: with a
// turn more, that carries a program of usual turns through an outage. With a
// quarter of the whole, programs of two turns had too little left once a holder
// was lost in the middle of one; with a fifth, those of three did not get through.
const (
	withheldParts = 3
	withheldOf    = 10
)

// withheld must be the same at all processes, and hang on nothing but the budget.
func withheld(total int64) int64 {
	return max(total-smallBudget, 0) * withheldParts / withheldOf
}

// Bounds of what is remembered of loans.
const (
	// creditsKept programs are remembered; beyond these nothing is lent, since
	// forgetting one would lend to it twice.
	creditsKept = 16384
	// creditKeptFor is how long after its last loan a program is remembered: longer
	// than it may come again.
	creditKeptFor = 10 * time.Minute
)

// Lender lends what the store does not grant. It is safe for concurrent use.
type Lender struct {
	mayLend func(program string) bool
	now     func() time.Time
	log     *zap.Logger
	mutex   sync.Mutex
	credits map[string]*credit
}

// credit is what was lent to one program.
type credit struct {
	lent  int64 // reserved and generated
	total int64 // the smallest budget that it named
	most  int64 // of the smallest turn
	used  time.Time
}

func (c *credit) limit(why cause) int64 {
	if why == causeSpent {
		return withheld(c.total)
	}
	return withheld(c.total) + c.most
}

// NewLender makes a lender. mayLend tells whether this daemon is the one that
// may lend to a program.
func NewLender(mayLend func(program string) bool, now func() time.Time, log *zap.Logger) *Lender {
	return &Lender{mayLend: mayLend, now: now, log: log, credits: map[string]*credit{}}
}

// cause is why a turn runs on credit.
type cause string

const (
	// causeOutage lends the part withheld and the most of one turn.
	causeOutage cause = "store away"
	// causeSpent lends the part withheld alone, once the rest of the budget is
	// spent: in calm times a program has its budget, and no more.
	causeSpent cause = "granted part spent"
)

// lend takes the most that a turn may generate from the program's credit. It
// returns nil if nothing may be lent.
func (l *Lender) lend(need turnNeed, why cause) *loan {
	if l == nil || !l.mayLend(need.program) {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	owed := l.open(need)
	if owed == nil || owed.lent+need.most > owed.limit(why) {
		return nil
	}
	owed.lent += need.most
	owed.used = l.now()
	l.log.Info("budget: lent.", zap.String("program", need.program), zap.Int64("most", need.most),
		zap.Int64("lent", owed.lent), zap.Int64("limit", owed.limit(why)), zap.String("cause", string(why)))
	return &loan{lender: l, credit: owed, most: need.most}
}

// open finds the program's credit. Budget and turn count as the smallest that
// the program ever named.
func (l *Lender) open(need turnNeed) *credit {
	owed, known := l.credits[need.program]
	if !known {
		if len(l.credits) >= creditsKept && l.forgetOld() == 0 {
			return nil
		}
		owed = &credit{total: need.total, most: need.most, used: l.now()}
		l.credits[need.program] = owed
	}
	owed.total = min(owed.total, need.total)
	owed.most = min(owed.most, need.most)
	return owed
}

func (l *Lender) forgetOld() (forgotten int) {
	for program, owed := range l.credits {
		if l.now().Sub(owed.used) > creditKeptFor {
			delete(l.credits, program)
			forgotten++
		}
	}
	return forgotten
}

// loan is what one turn may generate on credit.
type loan struct {
	lender *Lender
	credit *credit
	most   int64
}

// settle gives back what was not generated; it is to be called once.
func (l *loan) settle(generated int64) {
	l.lender.mutex.Lock()
	defer l.lender.mutex.Unlock()
	l.credit.lent -= max(0, l.most-generated)
	l.credit.used = l.lender.now()
}

package budget

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// A part of each budget above minBudgetWithCreditTokens, its credit reserve, is never granted by
// the store. One daemon may lend it while the store is unavailable, so that a program that starts
// during an outage doesn't have to wait for its end, and after the rest of the budget is spent.
//
// A program generates at most its budget plus the maximum of one turn: the store grants at most the
// budget without the credit reserve, and one daemon lends at most the credit reserve plus the
// maximum of one turn. members.List.MayLend guarantees that only one daemon lends to a program for
// as long as the program may return. Loans need not be stored, since they are not part of any
// grant.

// The credit reserve is three tenths of what a budget has above minBudgetWithCreditTokens. With one
// more turn that is enough for typical programs during an outage, and the rest is enough for short
// programs whose holder is lost. With a quarter of the whole budget, programs of two turns had too
// little left once a holder was lost; with a fifth, programs of three turns did not get through.
const (
	creditReserveNumerator   = 3
	creditReserveDenominator = 10
)

// creditReserve returns how many tokens of a budget the store never grants. It must be the same at
// all processes and depend only on the budget.
func creditReserve(total int64) int64 {
	return max(total-minBudgetWithCreditTokens, 0) * creditReserveNumerator / creditReserveDenominator
}

// Limits on the stored credits. Only expired credits are deleted to free space, since a program
// whose credit was deleted could be lent the same tokens again.
const (
	// maxCredits is the maximum number of programs with a credit.
	maxCredits = 16384
	// creditTTL is the time after its last use from which a credit may be deleted. It is longer
	// than the time in which a program may return.
	creditTTL = 10 * time.Minute
)

// Lender lends tokens of the credit reserve. It is safe for concurrent use.
type Lender struct {
	mayLend func(program string) bool
	now     func() time.Time
	log     *zap.Logger
	mutex   sync.Mutex
	credits map[string]*credit
}

// credit counts the tokens lent to one program.
type credit struct {
	lent      int64 // tokens reserved or generated
	total     int64 // the smallest budget in the program's requests
	maxTokens int64 // of the smallest turn in the program's requests
	lastUsed  time.Time
}

// limit returns how many tokens may be lent in all.
func (c *credit) limit(reason cause) int64 {
	if reason == causeSpent {
		return creditReserve(c.total)
	}
	return creditReserve(c.total) + c.maxTokens
}

// NewLender returns a lender. mayLend reports whether this daemon is the only one that may lend to
// a program.
func NewLender(mayLend func(program string) bool, now func() time.Time, log *zap.Logger) *Lender {
	return &Lender{mayLend: mayLend, now: now, log: log, credits: map[string]*credit{}}
}

// cause is the reason for a loan.
type cause string

const (
	// causeOutage allows the credit reserve plus the maximum of one turn.
	causeOutage cause = "store unavailable"
	// causeSpent allows only the credit reserve, so that without an outage a program generates at
	// most its budget.
	causeSpent cause = "granted part spent"
)

// lend reserves the tokens of a turn from the program's credit. It returns nil if they may not be
// lent. A nil Lender lends nothing.
func (l *Lender) lend(turn turnParams, reason cause) *loan {
	if l == nil || !l.mayLend(turn.program) {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	programCredit := l.openCredit(turn)
	if programCredit == nil || programCredit.lent+turn.maxTokens > programCredit.limit(reason) {
		return nil
	}
	programCredit.lent += turn.maxTokens
	programCredit.lastUsed = l.now()
	l.log.Info("budget: lent.", zap.String("program", turn.program), zap.Int64("most", turn.maxTokens),
		zap.Int64("lent", programCredit.lent), zap.Int64("limit", programCredit.limit(reason)), zap.String("cause", string(reason)))
	return &loan{lender: l, credit: programCredit, maxTokens: turn.maxTokens}
}

// openCredit returns the program's credit, and creates it if there is none. It returns nil if there
// are already maxCredits credits, none of which has expired. The caller holds the mutex.
func (l *Lender) openCredit(turn turnParams) *credit {
	programCredit, known := l.credits[turn.program]
	if !known {
		if len(l.credits) >= maxCredits && l.deleteExpired() == 0 {
			return nil
		}
		programCredit = &credit{total: turn.total, maxTokens: turn.maxTokens, lastUsed: l.now()}
		l.credits[turn.program] = programCredit
	}
	programCredit.total = min(programCredit.total, turn.total)
	programCredit.maxTokens = min(programCredit.maxTokens, turn.maxTokens)
	return programCredit
}

// deleteExpired deletes expired credits and returns their number. The caller holds the mutex.
func (l *Lender) deleteExpired() (deleted int) {
	for program, programCredit := range l.credits {
		if l.now().Sub(programCredit.lastUsed) > creditTTL {
			delete(l.credits, program)
			deleted++
		}
	}
	return deleted
}

// loan holds the tokens that were lent to one turn.
type loan struct {
	lender    *Lender
	credit    *credit
	maxTokens int64
}

// settle returns to the credit the tokens that were not generated. It must be called only once.
func (l *loan) settle(generated int64) {
	l.lender.mutex.Lock()
	defer l.lender.mutex.Unlock()
	l.credit.lent -= max(0, l.maxTokens-generated)
	l.credit.lastUsed = l.lender.now()
}

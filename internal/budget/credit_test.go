package budget

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

func always(string) bool { return true }

func refuseAll(memorystore.Call) memorystore.Fault { return memorystore.Refused }

// silentStore gives no verdict on commits.
type silentStore struct{ *memorystore.Store }

func (silentStore) Commit(ctx context.Context, _ state.Commit) (state.Version, error) {
	<-ctx.Done()
	return 0, state.ErrUnknown
}

var _ = Describe("Lender", func() {
	var store *memorystore.Store

	BeforeEach(func() { store = memorystore.New() })

	lending := func(mayLend func(string) bool) *Ledger {
		ledger := newLedger(store)
		ledger.LendWith(NewLender(mayLend, time.Now, zap.NewNop()))
		return ledger
	}
	// within bounds a reservation that must not succeed.
	within := func(ctx context.Context) context.Context {
		bounded, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		DeferCleanup(cancel)
		return bounded
	}

	It("lets a program begin and go on while the store is away", func(ctx SpecContext) {
		store.Misbehave(refuseAll)
		ledger := lending(always)
		for range 3 {
			reservation, err := ledger.Reserve(ctx, "p", 2600, 576)
			Expect(err).NotTo(HaveOccurred())
			Expect(reservation.OnCredit()).To(BeTrue())
			reservation.Settle(250)
		}
	})

	It("lends the part that the store does not grant and one turn, to each program", func(ctx SpecContext) {
		store.Misbehave(refuseAll)
		ledger := lending(always)
		for range 2 { // of 1,600 are 288 withheld, and a turn is 200
			_, err := ledger.Reserve(ctx, "p", 1600, 200)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := ledger.Reserve(within(ctx), "p", 1600, 200)
		Expect(err).To(HaveOccurred())
		_, err = ledger.Reserve(ctx, "q", 1600, 300)
		Expect(err).NotTo(HaveOccurred())
	})

	It("leaves enough for a program of two turns whose holder is lost in the middle of the second", func(ctx SpecContext) {
		first := newLedger(store)
		reservation, err := first.Reserve(ctx, "p", 1800, 576)
		Expect(err).NotTo(HaveOccurred())
		reservation.Settle(257)
		_, err = first.Reserve(ctx, "p", 1800, 576)
		Expect(err).NotTo(HaveOccurred())
		_, err = newLedger(store).Reserve(ctx, "p", 1800, 576)
		Expect(err).NotTo(HaveOccurred())
	})

	It("lends nothing where another daemon may", func(ctx SpecContext) {
		store.Misbehave(refuseAll)
		_, err := lending(func(string) bool { return false }).Reserve(within(ctx), "p", 2600, 576)
		Expect(err).To(HaveOccurred())
	})

	It("lends when the store is up and takes too long", func(ctx SpecContext) {
		ledger := newLedger(silentStore{store})
		ledger.LendWith(NewLender(always, time.Now, zap.NewNop()))
		reservation, err := ledger.Reserve(ctx, "p", 2600, 576)
		Expect(err).NotTo(HaveOccurred())
		Expect(reservation.OnCredit()).To(BeTrue())
	}, SpecTimeout(time.Minute))

	It("does not lend while the store grants", func(ctx SpecContext) {
		reservation, err := lending(always).Reserve(ctx, "p", 2600, 576)
		Expect(err).NotTo(HaveOccurred())
		Expect(reservation.OnCredit()).To(BeFalse())
	})

	It("gives a program its whole budget in calm times, and no more", func(ctx SpecContext) {
		ledger := lending(always)
		const total, turn = 2040, 105 // 420 are withheld: four turns
		for generated := 0; generated+turn <= total; generated += turn {
			reservation, err := ledger.Reserve(ctx, "p", total, turn)
			Expect(err).NotTo(HaveOccurred(), "after %d", generated)
			reservation.Settle(turn)
		}
		_, err := ledger.Reserve(ctx, "p", total, turn)
		Expect(err).To(MatchError(ErrSpent))
	})

	It("goes by the smallest budget and turn that a program named", func(ctx SpecContext) {
		store.Misbehave(refuseAll)
		ledger := lending(always)
		_, err := ledger.Reserve(ctx, "p", 1600, 300)
		Expect(err).NotTo(HaveOccurred())
		_, err = ledger.Reserve(within(ctx), "p", 16000, 3000)
		Expect(err).To(HaveOccurred())
	})

	It("lends nothing more once it would have to forget a program", func(ctx SpecContext) {
		lender := NewLender(always, time.Now, zap.NewNop())
		for number := range creditsKept {
			Expect(lender.lend(turnNeed{fmt.Sprint(number), 1600, 300}, causeOutage)).NotTo(BeNil())
		}
		Expect(lender.lend(turnNeed{"one more", 1600, 300}, causeOutage)).To(BeNil())
	})
})

// TestNeverExceededOnCredit plays processes that reserve, settle, die and start
// again, one of which may lend until it dies first, on a store that refuses,
// loses answers and does commits late. Whatever they generated stays within the
// budget and the most of one turn.
func TestNeverExceededOnCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generated, total := playLending(t)
		if generated > total+most {
			t.Fatalf("%d tokens generated of a budget of %d and turns of %d", generated, total, most)
		}
	})
}

func playLending(t *rapid.T) (generated, total int64) {
	store := memorystore.New()
	total = rapid.Int64Range(most, 40*most).Draw(t, "total")
	ledgers := []*Ledger{newBriefLedger(store), newBriefLedger(store)}
	ledgers[0].LendWith(NewLender(always, time.Now, zap.NewNop()))
	turns := make([][]*Reservation, len(ledgers))
	faults := []memorystore.Fault{memorystore.None, memorystore.Refused, memorystore.Refused, memorystore.Lost, memorystore.Late}
	steps := rapid.IntRange(1, 80).Draw(t, "steps")
	for step := range steps {
		process := rapid.IntRange(0, len(ledgers)-1).Draw(t, fmt.Sprintf("process %d", step))
		fault := rapid.SampledFrom(faults).Draw(t, fmt.Sprintf("fault %d", step))
		store.Misbehave(func(memorystore.Call) memorystore.Fault { return fault })
		switch action := rapid.IntRange(0, 9).Draw(t, fmt.Sprintf("action %d", step)); {
		case action < 6:
			short, cancel := context.WithTimeout(context.Background(), briefly) // never wait for turns under way
			if reservation, err := ledgers[process].Reserve(short, "p", total, most); err == nil {
				turns[process] = append(turns[process], reservation)
			}
			cancel()
		case action < 9:
			for _, turn := range turns[process] {
				tokens := rapid.Int64Range(0, most).Draw(t, "tokens")
				generated += tokens
				turn.Settle(tokens)
			}
			turns[process] = nil
		default: // the process dies; what it had running was handed out whole
			generated += most * int64(len(turns[process]))
			turns[process] = nil
			ledgers[process] = newBriefLedger(store) // it lends no more
			store.Release()
		}
	}
	for _, left := range turns {
		generated += most * int64(len(left))
	}
	return generated, total
}

package memory

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memory")
}

// TestAccountStaysWithinLimits checks that for any sequence of operations the account equals the
// sum of all reservations, stays within the limits in total and for each owner, and ends empty.
func TestAccountStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		account := NewAccount(limit)
		var open []*Reservation
		expected := map[*Reservation]int64{}
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0 || len(open) == 0:
				owner := Owner(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "owner")))
				open = append(open, account.NewReservation(owner))
			case action == 1:
				reservation := rapid.SampledFrom(open).Draw(t, "grown")
				bytes := rapid.Int64Range(0, limit).Draw(t, "bytes")
				kind := Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind"))
				fits := reservation.Fits(bytes)
				err := reservation.Grow(kind, bytes)
				if kind != Answer && fits != (err == nil) && bytes > 0 {
					t.Fatalf("Fits returned %v, but Grow returned %v", fits, err)
				}
				if err == nil {
					expected[reservation] += bytes
				}
			case action == 2:
				reservation := rapid.SampledFrom(open).Draw(t, "shrunk")
				kind := Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind"))
				bytes := rapid.Int64Range(0, 2*limit).Draw(t, "bytes")
				expected[reservation] -= min(bytes, reservation.bytes[kind])
				reservation.Shrink(kind, bytes)
			default:
				index := rapid.IntRange(0, len(open)-1).Draw(t, "ended")
				open[index].Close()
				open[index].Close()
				delete(expected, open[index])
				open = append(open[:index], open[index+1:]...)
			}
			checkSums(t, account, expected)
		}
		for _, reservation := range open {
			reservation.Close()
		}
		if account.Held() != 0 || len(account.owners) != 0 {
			t.Fatalf("%d bytes still held at the end by %d owners", account.Held(), len(account.owners))
		}
	})
}

func checkSums(t *rapid.T, account *Account, expected map[*Reservation]int64) {
	sum, byOwner := int64(0), map[Owner]int64{}
	for reservation, bytes := range expected {
		sum += bytes
		byOwner[reservation.owner] += bytes
	}
	if account.Held() != sum || sum > account.Limit() {
		t.Fatalf("held %d, expected %d, limit %d", account.Held(), sum, account.Limit())
	}
	if answers := account.byKind[Answer].Load(); answers > account.Limit()/2 {
		t.Fatalf("%d bytes of answers, total limit %d", answers, account.Limit())
	}
	for owner, bytes := range byOwner {
		if bytes > account.Limit()/2 {
			t.Fatalf("owner %s holds %d bytes, total limit %d", owner, bytes, account.Limit())
		}
	}
}

var _ = Describe("Account", func() {
	It("enforces its limits under concurrent use", func() {
		const limit, callers, rounds = 1 << 20, 32, 400
		account := NewAccount(limit)
		var all sync.WaitGroup
		violations := make(chan int64, callers*rounds)
		for caller := range callers {
			all.Go(func() {
				for round := range rounds {
					reservation := account.NewReservation(Owner(fmt.Sprint(caller % 4)))
					_ = reservation.Grow(Request, int64(1+(caller*round)%(limit/8)))
					_ = reservation.Grow(Answer, int64(1+(caller+round)%(limit/16)))
					if held := account.Held(); held > limit {
						violations <- held
					}
					if own := reservation.ownerUsage.held.Load(); own > limit/2 {
						violations <- own
					}
					reservation.Close()
				}
			})
		}
		all.Wait()
		Expect(violations).To(BeEmpty())
		Expect(account.Held()).To(BeZero())
		Expect(account.owners).To(BeEmpty())
	})

	It("leaves space for another owner after a greedy one", func() {
		account := NewAccount(100)
		greedy := account.NewReservation("greedy")
		for greedy.Grow(Request, 1) == nil {
		}
		Expect(account.Held()).To(BeEquivalentTo(50))
		Expect(account.NewReservation("late").Grow(Request, 25)).To(Succeed())
		var exceeded *ExceededError
		Expect(errors.As(greedy.Grow(Request, 1), &exceeded)).To(BeTrue())
		Expect(exceeded.OwnerLimited).To(BeTrue())
	})

	It("accepts requests even if many callers do not read their answers", func() {
		account := NewAccount(1000)
		for caller := range 100 {
			reservation := account.NewReservation(Owner(fmt.Sprint(caller)))
			for reservation.Grow(Answer, 1) == nil {
			}
		}
		Expect(account.Held()).To(BeEquivalentTo(500))
		Expect(account.NewReservation("late").Grow(Request, 250)).To(Succeed())
	})

	It("only counts if it has no limit", func() {
		account := NewAccount(0)
		reservation := account.NewReservation("one")
		Expect(reservation.Grow(History, 1<<40)).To(Succeed())
		Expect(reservation.Fits(1 << 50)).To(BeTrue())
		Expect(account.Held()).To(BeEquivalentTo(1 << 40))
		reservation.Close()
		Expect(reservation.Grow(History, 1)).NotTo(Succeed())
		Expect(account.Held()).To(BeZero())
	})

	It("can be nil", func() {
		var account *Account
		reservation := account.NewReservation("one")
		Expect(reservation.Grow(Request, 1)).To(Succeed())
		reservation.Shrink(Request, 1)
		reservation.Close()
	})
})

var _ = DescribeTable("LimitsFor leaves memory for kernel buffers, the process and garbage",
	func(machineMB int) {
		divided := LimitsFor(machineMB)
		machine := int64(machineMB) * megabyte
		Expect(divided.MemoryLimit + nonRuntimeBytes + machine/kernelDivisor).To(BeNumerically("<=", machine))
		Expect(heapFactor*divided.MaxHeldBytes + processLiveBytes).To(BeNumerically("<=", divided.MemoryLimit))
		Expect(divided.MaxHeldBytes).To(BeNumerically(">=", minHeldBytes))
	},
	Entry("the smallest machine", 112), Entry("a medium machine", 254), Entry("a large machine", 536), Entry("others", 4096),
)

var _ = It("LimitsFor sets no limits if the memory size is unknown", func() {
	Expect(LimitsFor(0)).To(Equal(Limits{}))
})

package turn_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// The turns of programs that are measured: a short one, two usual ones, a long one.
var measuredTurns = []int{1, 4, 11, 22}

// BenchmarkBytesKept tells the bytes that the store holds for a program, where a hundred
// programs begin alike.
func BenchmarkBytesKept(b *testing.B) {
	const programs = 100
	for _, turns := range measuredTurns {
		b.Run(fmt.Sprint(turns, "-turns"), func(b *testing.B) {
			RegisterTestingT(b)
			bytes := 0
			for b.Loop() {
				store := memorystore.New()
				random := rand.New(rand.NewPCG(1, 2))
				common := randomText(random, commonBytes)
				daemons := []*turn.Records{turn.NewRecords(usualOptions(store))}
				for number := range programs {
					program(context.Background(), daemons, random, fmt.Sprint("p", number), common, turns)
				}
				bytes = store.Bytes()
			}
			b.ReportMetric(float64(bytes)/programs, "bytes/program")
		})
	}
}

// slowStore answers each reading after the time that a sound store takes.
type slowStore struct {
	*memorystore.Store
	answer time.Duration
}

func (s slowStore) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	time.Sleep(s.answer)
	return s.Store.Read(ctx, selected)
}

// BenchmarkChainRead tells how long a daemon takes to read a whole conversation that
// others served, where a reading takes 4 ms.
func BenchmarkChainRead(b *testing.B) {
	const answer = 4 * time.Millisecond
	for _, turns := range measuredTurns {
		b.Run(fmt.Sprint(turns, "-turns"), func(b *testing.B) {
			RegisterTestingT(b)
			store := memorystore.New()
			random := rand.New(rand.NewPCG(1, 2))
			common := randomText(random, commonBytes)
			writer := []*turn.Records{turn.NewRecords(usualOptions(store))}
			for _, name := range []string{"first", "p"} {
				program(context.Background(), writer, random, name, common, turns)
			}
			readings := store.Calls("read")
			for b.Loop() {
				reader := turn.NewRecords(usualOptions(slowStore{store, answer}))
				_, err := reader.Load(context.Background(), fmt.Sprint("p-", turns-1), "")
				Expect(err).NotTo(HaveOccurred())
			}
			b.ReportMetric(float64(store.Calls("read")-readings)/float64(b.N), "readings/chain")
		})
	}
}

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

// benchmarkTurns holds the number of turns of each measured program: a short one, two typical ones
// and a long one.
var benchmarkTurns = []int{1, 4, 11, 22}

// BenchmarkBytesKept measures how many bytes the store holds for each of 100 programs whose first
// inputs share a prefix.
func BenchmarkBytesKept(b *testing.B) {
	const programs = 100
	for _, turns := range benchmarkTurns {
		b.Run(fmt.Sprint(turns, "-turns"), func(b *testing.B) {
			RegisterTestingT(b)
			bytes := 0
			for b.Loop() {
				store := memorystore.New()
				random := rand.New(rand.NewPCG(1, 2))
				common := randomText(random, commonBytes)
				daemons := []*turn.Repository{turn.NewRepository(typicalOptions(store))}
				for number := range programs {
					saveProgram(context.Background(), daemons, random, fmt.Sprint("p", number), common, turns)
				}
				bytes = store.ValueBytes()
			}
			b.ReportMetric(float64(bytes)/programs, "bytes/program")
		})
	}
}

// slowStore delays each read by latency, the response time of a healthy store.
type slowStore struct {
	*memorystore.Store
	latency time.Duration
}

func (s slowStore) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	time.Sleep(s.latency)
	return s.Store.Read(ctx, selected)
}

// BenchmarkChainRead measures how long a daemon takes to load a whole conversation that other
// daemons served, if each read of the store takes 4 ms.
func BenchmarkChainRead(b *testing.B) {
	const latency = 4 * time.Millisecond
	for _, turns := range benchmarkTurns {
		b.Run(fmt.Sprint(turns, "-turns"), func(b *testing.B) {
			RegisterTestingT(b)
			store := memorystore.New()
			random := rand.New(rand.NewPCG(1, 2))
			common := randomText(random, commonBytes)
			writer := []*turn.Repository{turn.NewRepository(typicalOptions(store))}
			for _, name := range []string{"first", "p"} {
				saveProgram(context.Background(), writer, random, name, common, turns)
			}
			readings := store.CallCount("read")
			for b.Loop() {
				reader := turn.NewRepository(typicalOptions(slowStore{store, latency}))
				_, err := reader.Load(context.Background(), fmt.Sprint("p-", turns-1), "")
				Expect(err).NotTo(HaveOccurred())
			}
			b.ReportMetric(float64(store.CallCount("read")-readings)/float64(b.N), "readings/chain")
		})
	}
}

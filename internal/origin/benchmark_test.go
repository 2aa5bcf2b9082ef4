package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// sizes are the numbers of daemons of the benchmarks.
var sizes = []int{12, 84, 390}

// startExchanges starts daemons that call each other over TCP, and returns the first and the last one
// with the client of the first.
func startExchanges(b *testing.B, daemons int) (first, last *Exchange, client *peer.Pool) {
	b.Helper()
	const zones = 11
	var lists []*members.List
	for number := range daemons {
		server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = server.Close() })
		records, err := NewRecords(1<<14, time.Now)
		if err != nil {
			b.Fatal(err)
		}
		if err := server.Register(ServiceName, NewService(records)); err != nil {
			b.Fatal(err)
		}
		self := members.Member{Process: identity.Process{
			Machine: identity.Machine(fmt.Sprintf("d%03d", number)), Zone: identity.Zone(fmt.Sprint("z", number%zones)), Region: "r", Address: server.Address(),
		}}
		list := members.NewList(self, time.Now, zap.NewNop())
		lists = append(lists, list)
		if number == 0 || number == daemons-1 {
			pool := peer.NewPool(peer.Options{})
			b.Cleanup(func() { _ = pool.Close() })
			last = NewExchange(records, list, pool, zap.NewNop())
			if number == 0 {
				first, client = last, pool
			}
		}
	}
	if err := acquaintance.FillLists(lists...); err != nil {
		b.Fatal(err)
	}
	return first, last, client
}

// BenchmarkTell measures telling the origin of one stream to the homes, the time and the bytes of both
// sides.
func BenchmarkTell(b *testing.B) {
	for _, daemons := range sizes {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			first, _, client := startExchanges(b, daemons)
			number := 0
			tell := func() {
				number++
				first.tell(Record{Stream: StreamOf(fmt.Sprint(number)), Origin: Origin{Service: "assess-models", Version: "v1.2"}, Keep: time.Minute})
			}
			for range 4 * daemons {
				tell() // opens the connections
			}
			before := client.Stats().ClassTraffic(peer.ClassControl)
			for b.Loop() {
				tell()
			}
			after := client.Stats().ClassTraffic(peer.ClassControl)
			b.ReportMetric(float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived)/float64(b.N), "bytes/stream")
		})
	}
}

// BenchmarkFind measures finding the origin of a stream at other daemons.
func BenchmarkFind(b *testing.B) {
	for _, daemons := range sizes {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			first, last, _ := startExchanges(b, daemons)
			const streams = 1000
			for number := range streams {
				first.tell(Record{Stream: StreamOf(fmt.Sprint(number)), Origin: Origin{Service: "assess-models", Version: "v1.2"}, Keep: time.Hour})
			}
			number := 0
			for b.Loop() {
				number++
				if _, isKnown := last.ask(context.Background(), StreamOf(fmt.Sprint(number%streams))); !isKnown {
					b.Fatal("the origin is not known")
				}
			}
		})
	}
}

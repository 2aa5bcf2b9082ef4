package beginning

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// BenchmarkRelay measures telling the homes of a stream of eight events, the time and the bytes of both
// sides. Each event comes after the one before it was told, as events of engines mostly do.
func BenchmarkRelay(b *testing.B) {
	const events, zones = 8, 11
	for _, daemons := range []int{12, 84, 390} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			var lists []*members.List
			var exchange *Exchange
			var pool *peer.Pool
			for number := range daemons {
				server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(func() { _ = server.Close() })
				records, err := NewRecords(1<<10, 1<<20, time.Now)
				if err != nil {
					b.Fatal(err)
				}
				if err := server.Register(ServiceName, NewService(records)); err != nil {
					b.Fatal(err)
				}
				list := members.NewList(members.Member{Process: identity.Process{
					Machine: identity.Machine(fmt.Sprintf("d%03d", number)), Zone: identity.Zone(fmt.Sprint("z", number%zones)), Region: "r", Address: server.Address(),
				}}, time.Now, zap.NewNop())
				lists = append(lists, list)
				if number == 0 {
					pool = peer.NewPool(peer.Options{})
					b.Cleanup(func() { _ = pool.Close() })
					exchange = NewExchange(records, list, pool, zap.NewNop())
				}
			}
			if err := acquaintance.FillLists(lists...); err != nil {
				b.Fatal(err)
			}
			output, marks := outputOf("the data of an event", events)
			relay := func(number int) {
				stream := streamOf(fmt.Sprint(number), "a", 1)
				relayed := exchange.Relay(stream, time.Minute)
				received := func() uint64 { return pool.Stats().ClassTraffic(peer.ClassData).MessagesReceived }
				for event := range marks {
					told := received() + replicas
					relayed.Extend(output[:marks[event].End], marks[:event+1])
					for received() < told {
						time.Sleep(10 * time.Microsecond)
					}
				}
				relayed.End()
				for exchange.relayed.Load() > 0 {
					time.Sleep(10 * time.Microsecond)
				}
			}
			number := 0
			for range 4 * daemons { // opens the connections
				number++
				relay(number)
			}
			before := pool.Stats().ClassTraffic(peer.ClassData)
			for b.Loop() {
				number++
				relay(number)
			}
			after := pool.Stats().ClassTraffic(peer.ClassData)
			b.ReportMetric(float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived)/float64(b.N), "bytes/stream")
			b.ReportMetric(float64(after.MessagesSent-before.MessagesSent)/float64(b.N), "calls/stream")
		})
	}
}

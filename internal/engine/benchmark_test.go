package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// newBenchmarkService returns a service that is not running, with the given number of engines,
// each of which has reported once.
func newBenchmarkService(b *testing.B, engines int) *Service {
	b.Helper()
	document := configuration.Document{Models: []configuration.Model{{Name: "model", Version: "v1"}}}
	pool := configuration.Pool{Name: "pool", Model: "model"}
	for index := range engines {
		name := fmt.Sprintf("engine-%04d", index)
		document.Engines = append(document.Engines, configuration.Engine{Name: name, Address: "http://10.0.0.1:8000", Zone: "zone-a"})
		pool.Engines = append(pool.Engines, name)
	}
	document.Pools = []configuration.Pool{pool}
	source := &fakeSource{}
	source.set(document)
	network := newMemoryNetwork()
	daemon := fakeDaemon{memoryNetwork: network, self: process("daemon-a")}
	service, err := New(Options{Self: daemon.self, Configuration: source, Directory: daemon, PeerClient: daemon, Registrar: daemon})
	if err != nil {
		b.Fatal(err)
	}
	service.table.Store(service.buildTable(&document))
	service.poolSpecs.Store(newPoolSpecs(source.Current(), 1))
	for _, tracked := range service.table.Load().engines {
		digest := sampleDigest(tracked.declared.Name, 1)
		tracked.accept(digest, staticChecksum(&digest), time.Now())
	}
	return service
}

// sampleDigest returns a digest with pseudo-random load that depends on the name and the
// sequence number only.
func sampleDigest(name string, sequence uint64) Digest {
	random := rand.New(rand.NewPCG(nameHash(name), sequence))
	return Digest{
		Engine: name, Fence: 7<<fenceShift | 12345, Sequence: 3600 + sequence, Model: "model", Version: "v1", Adapters: []string{"invoices", "debtors"},
		Running: random.IntN(64), Waiting: random.IntN(8), WaitingTokens: random.Int64N(50_000), CacheTokens: 400_000, CacheUsed: random.Int64N(400_000),
		PrefillPerSec: 9000, DecodePerSec: 35, MaxRunning: 64, Serving: true, Role: RoleServe,
	}
}

func BenchmarkRebuild(b *testing.B) {
	for _, engines := range []int{10, 100, 680, 3400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			service := newBenchmarkService(b, engines)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				service.rebuild(now)
			}
		})
	}
}

func BenchmarkAssess(b *testing.B) {
	for _, engines := range []int{10, 680, 3400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			service := newBenchmarkService(b, engines)
			b.ReportAllocs()
			for b.Loop() {
				service.assessAll(time.Now())
			}
		})
	}
}

// BenchmarkDigest reports the encoded size of a busy engine's digest in bytes.
func BenchmarkDigest(b *testing.B) {
	for _, full := range []bool{true, false} {
		b.Run(fmt.Sprintf("full=%t", full), func(b *testing.B) {
			var size, count int
			for b.Loop() {
				digest := sampleDigest("engine-0001", uint64(count))
				size += len(appendRecord(nil, &digest, staticChecksum(&digest), full))
				count++
			}
			b.ReportMetric(float64(size)/float64(count), "bytes/digest")
		})
	}
}

func BenchmarkReceive(b *testing.B) {
	service := newBenchmarkService(b, 680)
	batches := make([]DigestBatch, 100)
	for index := range batches {
		for _, tracked := range service.table.Load().engines {
			digest := sampleDigest(tracked.declared.Name, uint64(index+2))
			batches[index].Payload = appendRecord(batches[index].Payload, &digest, tracked.report.Load().checksum, false)
		}
	}
	fresh := make([]*report, 0, len(service.table.Load().engines))
	for _, tracked := range service.table.Load().engines {
		fresh = append(fresh, tracked.report.Load())
	}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		if index%len(batches) == 0 {
			for position, tracked := range service.table.Load().engines {
				tracked.report.Store(fresh[position])
			}
		}
		if err := service.exchange.receive(&batches[index%len(batches)]); err != nil {
			b.Fatal(err)
		}
	}
}

// countingClient counts the calls and the bytes that one daemon sends, including an estimate of
// the RPC overhead.
type countingClient struct {
	calls, bytes *int
}

func (c countingClient) Call(_ context.Context, _ string, _ peer.Class, _ string, arguments, _ any) error {
	batch := arguments.(*DigestBatch)
	*c.calls++
	*c.bytes += len(batch.Payload) + len(batch.Sender) + callOverheadBytes
	return nil
}

// BenchmarkSpread reports the calls and bytes that one daemon sends each second in a region of
// 78 daemons and 680 engines when every digest changes significantly every second (worst case).
func BenchmarkSpread(b *testing.B) {
	const daemons, engines = 78, 680
	var calls, bytes int
	service := newBenchmarkService(b, engines)
	service.options.PeerClient = countingClient{calls: &calls, bytes: &bytes}
	processes := []identity.Process{service.self}
	for index := range daemons - 1 {
		processes = append(processes, process(fmt.Sprintf("daemon-%03d", index)))
	}
	service.exchange.setMesh(newMesh(service.self, processes))
	now := time.Now()
	for index := range b.N {
		for position, tracked := range service.table.Load().engines {
			digest := sampleDigest(tracked.declared.Name, uint64(index+2))
			digest.Running = index % 2 * digest.MaxRunning
			tracked.accept(digest, tracked.report.Load().checksum, now)
			switch column := position % daemons; {
			case column == 0:
				service.exchange.publish(tracked)
			case column < len(service.exchange.mesh.row)+1:
				service.exchange.relay[tracked] = false
			}
		}
		now = now.Add(time.Second)
		service.exchange.tick(context.Background(), now)
		service.running.Wait()
	}
	b.ReportMetric(float64(calls)/float64(b.N), "calls/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
}

func BenchmarkShowPrefixes(b *testing.B) {
	service := newBenchmarkService(b, 680)
	for hash := range uint64(maxPrefixes) {
		for number := range maxHoldersPerPrefix {
			service.RecordPrefixes(fmt.Sprintf("engine-%04d", (int(hash)*7+number)%680), []PromptPrefix{{Hash: hash, Tokens: 4000}})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		service.prefixes.holdersByHash(service.table.Load(), time.Now())
	}
}

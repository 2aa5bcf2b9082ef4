package load

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

func drawPrograms(t *rapid.T) ProgramStats {
	drawn := newPrograms()
	figure := rapid.Int64Range(0, maxNumber)
	for key, figures := range rapid.MapOfN(rapid.Uint32(), rapid.SliceOfN(figure, 7, 7), 0, 4).Draw(t, "services") {
		var service ServiceStats
		for index, field := range service.figures() {
			*field = figures[index]
		}
		drawn.Services[Digest(key)] = service
	}
	for key, spent := range rapid.MapOfN(rapid.Uint32(), rapid.Int64Range(1, maxNumber), 0, 8).Draw(t, "spent") {
		drawn.Spent[Digest(key)] = spent
	}
	return drawn
}

// TestPrograms checks that encoded statistics decode to the same values, that decoding them twice
// into the same sums doubles the costs, and that truncated input is rejected.
func TestPrograms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := drawPrograms(t)
		encoded := original.encode()
		decoded := newPrograms()
		if err := decoded.addEncoded(encoded); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded) != fmt.Sprint(original) {
			t.Fatalf("%v was decoded as %v", original, decoded)
		}
		if err := decoded.addEncoded(encoded); err != nil {
			t.Fatal(err)
		}
		for key, spent := range original.Spent {
			if decoded.Spent[key] != 2*spent {
				t.Fatalf("%d and %d were summed to %d", spent, spent, decoded.Spent[key])
			}
		}
		if len(encoded) > 1 && newPrograms().addEncoded(encoded[:len(encoded)-1]) == nil {
			t.Fatal("truncated statistics were accepted")
		}
	})
}

// testProgramSource is a ProgramSource with fixed statistics. It sends the sums over all daemons to
// updates.
type testProgramSource struct {
	own     ProgramStats
	updates chan ProgramStats
}

func (p *testProgramSource) Programs() ProgramStats { return p.own }

func (p *testProgramSource) UpdatePrograms(all, _ ProgramStats) { p.updates <- all }

var _ = Describe("ProgramStats", func() {
	const service, tenant = Digest(7), Digest(9)
	own := func(held int64) ProgramStats {
		return ProgramStats{
			Services: map[Digest]ServiceStats{service: {Daemons: 1, Count: 1, Held: held, Claimed: held, Asked: 3, Turns: 2, FirstByte: 1000}},
			Spent:    map[Digest]int64{tenant: held},
		}
	}

	It("are summed by a board over reports and shares that have not expired", func() {
		now := time.Unix(1000, 0)
		board := NewBoard(func() time.Time { return now })
		var reply ReportReply
		Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{Programs: own(10).encode()}}, &reply)).To(Succeed())
		Expect(board.Share(Share{Aggregator: "z", Told: EncodedStats{Programs: own(5).encode()}}, &ShareReply{})).To(Succeed())
		now = now.Add(sumTTL)
		Expect(board.Report(ReportRequest{Member: "b", Told: EncodedStats{Programs: own(1).encode()}}, &reply)).To(Succeed())
		all := newPrograms()
		Expect(all.addEncoded(reply.All.Programs)).To(Succeed())
		Expect(all.Services[service]).To(Equal(ServiceStats{Daemons: 3, Count: 3, Held: 16, Claimed: 16, Asked: 9, Turns: 6, FirstByte: 3000}))
		Expect(all.Spent[tenant]).To(BeEquivalentTo(16))
		shared, _ := board.sumReports()
		sharedPrograms := newPrograms()
		Expect(sharedPrograms.addEncoded(shared.Programs)).To(Succeed())
		Expect(sharedPrograms.Services[service].Held).To(BeEquivalentTo(11))
		now = now.Add(programsTTL + time.Millisecond)
		Expect(board.Report(ReportRequest{Member: "c", Told: EncodedStats{Programs: own(2).encode()}}, &reply)).To(Succeed())
		fresh := newPrograms()
		Expect(fresh.addEncoded(reply.All.Programs)).To(Succeed())
		Expect(fresh.Services[service].Held).To(BeEquivalentTo(2))
	})

	It("are rejected if they can't be decoded", func() {
		board := NewBoard(time.Now)
		Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{Programs: []byte{1, 2}}}, &ReportReply{})).To(MatchError(ContainSubstring("report of a")))
		Expect(newPrograms().addEncoded([]byte{200, 200, 3})).To(MatchError(ContainSubstring("services")))
	})

	It("are bounded in the size of their encoding, however many tenants there are", func() {
		many := newPrograms()
		for tenant := range Digest(5 * maxTenantsPerMessage) {
			many.Spent[tenant] = 1 << 20
		}
		Expect(len(many.encode())).To(BeNumerically("<", 8<<10))
	})

	It("are exchanged with the counts, even if another daemon reports none", func(ctx SpecContext) {
		server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		board := NewBoard(time.Now)
		Expect(server.Register(ServiceName, board)).To(Succeed())
		Expect(board.Report(ReportRequest{Member: "former", Told: EncodedStats{UnderWay: Counts{1: 1}.encode()}}, &ReportReply{})).To(Succeed())
		self := members.Member{Process: identity.Process{Machine: "d", Zone: "z", Region: "r", Address: server.Address()}}
		source := &testProgramSource{own: own(4), updates: make(chan ProgramStats, 1)}
		exchange := &Exchange{
			List: members.NewList(self, time.Now, zap.NewNop()), PeerClient: peer.NewPool(peer.Options{}), Board: board,
			Fleet: &testFleet{updates: make(chan Counts, 1)}, Programs: source, Log: zap.NewNop(),
		}
		Expect(acquaintance.FillLists(exchange.List)).To(Succeed())
		exchange.report(context.Background())
		Eventually(ctx, source.updates).Should(Receive(HaveField("Services", Not(BeNil()))))
	})
})

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
)

// TestSpeeds checks that encoded speeds decode to the same speeds, and that truncated input is
// rejected.
func TestSpeeds(t *testing.T) {
	number := rapid.IntRange(0, maxWork)
	rapid.Check(t, func(t *rapid.T) {
		speeds := EngineWork{}
		for _, engine := range rapid.SliceOfDistinct(rapid.Uint32(), rapid.ID).Draw(t, "engines") {
			speeds[Digest(engine)] = Work{
				ChunkHundredths: number.Draw(t, "pieces"), AnswerHundredths: number.Draw(t, "answers"), Millis: number.Draw(t, "taken"),
			}
		}
		decoded := EngineWork{}
		encoded := speeds.encode()
		if err := decoded.addEncoded(encoded); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded) != fmt.Sprint(speeds) {
			t.Fatalf("%v was decoded as %v", speeds, decoded)
		}
		if len(encoded) > 0 && (EngineWork{}).addEncoded(encoded[:len(encoded)-1]) == nil {
			t.Fatal("truncated speeds were accepted")
		}
	})
}

// testSpeeds implements the methods of Fleet that exchange speeds.
type testSpeeds struct {
	local        EngineWork // of this daemon
	all, ownPart EngineWork // arguments of the last UpdateWork
}

func (t *testSpeeds) ObservedWork() EngineWork { return t.local }

func (t *testSpeeds) UpdateWork(all, own EngineWork) { t.all, t.ownPart = all, own }

// testBoard is a board with a manual clock.
type testBoard struct {
	*Board
	clock time.Time
}

func newTestBoard() *testBoard {
	board := &testBoard{clock: time.Unix(1000, 0)}
	board.Board = NewBoard(func() time.Time { return board.clock })
	return board
}

// reportOnce reports to the board once as a newly started daemon, and returns that daemon's fleet.
func reportOnce(ctx context.Context, board *Board) *testFleet {
	GinkgoHelper()
	self := members.Member{Process: identity.Process{Machine: "new", Zone: "z", Region: "r"}, State: members.StateAlive}
	list := members.NewList(self, time.Now, zap.NewNop())
	Expect(acquaintance.FillLists(list)).To(Succeed())
	fleet := &testFleet{updates: make(chan Counts, 1)}
	exchange := &Exchange{List: list, Board: board, Fleet: fleet, Log: zap.NewNop()}
	exchange.report(ctx)
	Expect(fleet.updates).To(Receive())
	return fleet
}

func decodeSpeeds(encoded []byte) EngineWork {
	GinkgoHelper()
	speeds := EngineWork{}
	Expect(speeds.addEncoded(encoded)).To(Succeed())
	return speeds
}

var _ = Describe("EngineWork", func() {
	one, other := Work{ChunkHundredths: 700, AnswerHundredths: 100, Millis: 280}, Work{ChunkHundredths: 600, AnswerHundredths: 100, Millis: 300}

	It("sums the speeds of reports and shares, and returns the reporting daemon's own part", func() {
		board := newTestBoard()
		var reply ReportReply
		Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{Speeds: EngineWork{1: one, 2: other}.encode()}}, &reply)).To(Succeed())
		Expect(board.Share(Share{Aggregator: "z", Told: EncodedStats{Speeds: EngineWork{1: other}.encode()}}, &ShareReply{})).To(Succeed())
		board.clock = board.clock.Add(sumTTL)
		Expect(board.Report(ReportRequest{Member: "b", Told: EncodedStats{Speeds: EngineWork{1: one}.encode()}}, &reply)).To(Succeed())
		Expect(decodeSpeeds(reply.All.Speeds)).To(Equal(EngineWork{1: one.Add(one).Add(other), 2: other}))
		Expect(decodeSpeeds(reply.Own.Speeds)).To(Equal(EngineWork{1: one}))
		share, _ := board.sumReports()
		Expect(decodeSpeeds(share.Speeds)).To(Equal(EngineWork{1: one.Add(one), 2: other}))
	})

	It("returns the speeds of the others to a newly started daemon with its first reply", func(ctx SpecContext) {
		board := newTestBoard()
		var reply ReportReply
		Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{Speeds: EngineWork{1: one}.encode()}}, &reply)).To(Succeed())
		board.clock = board.clock.Add(sumTTL)
		started := reportOnce(ctx, board.Board)
		Expect(started.all).To(Equal(EngineWork{1: one}))
		Expect(started.ownPart).To(BeEmpty())
	})

	It("rejects speeds that can't be decoded or exceed the limit", func() {
		board := newTestBoard()
		for _, encoded := range [][]byte{{1}, {1, 2, 3, 4}, {1, 2, 3, 4, 1, 1}, EngineWork{1: one}.encode()[:6]} {
			Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{Speeds: encoded}}, &ReportReply{})).To(MatchError(ContainSubstring("report of a")))
			Expect(board.Share(Share{Aggregator: "z", Told: EncodedStats{Speeds: encoded}}, &ShareReply{})).To(MatchError(ContainSubstring("share of z")))
		}
		tooMuch := append(EngineWork{1: {ChunkHundredths: 1, AnswerHundredths: 1}}.encode()[:6], 0x81, 0x80, 0x80, 0x80, 0x08) // maxWork + 1
		Expect(EngineWork{}.addEncoded(tooMuch)).To(MatchError(ContainSubstring("invalid work")))
	})

	It("subtracts without falling below zero", func() {
		Expect(one.Sub(other)).To(Equal(Work{ChunkHundredths: 100, AnswerHundredths: 0, Millis: 0}))
	})

	It("takes at most 10 bytes an engine", func() {
		Expect(len(EngineWork{1: {ChunkHundredths: 9000, AnswerHundredths: 1300, Millis: 4000}}.encode())).To(BeNumerically("<=", 10))
	})
})

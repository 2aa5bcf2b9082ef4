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
		speeds := Speeds{}
		for _, engine := range rapid.SliceOfDistinct(rapid.Uint32(), rapid.ID).Draw(t, "engines") {
			speeds[Key(engine)] = Work{
				Pieces: number.Draw(t, "pieces"), Answers: number.Draw(t, "answers"), Taken: number.Draw(t, "taken"),
			}
		}
		decoded := Speeds{}
		encoded := speeds.encode()
		if err := decoded.addEncoded(encoded); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded) != fmt.Sprint(speeds) {
			t.Fatalf("%v was decoded as %v", speeds, decoded)
		}
		if len(encoded) > 0 && (Speeds{}).addEncoded(encoded[:len(encoded)-1]) == nil {
			t.Fatal("truncated speeds were accepted")
		}
	})
}

// testSpeeds implements the methods of Fleet that exchange speeds.
type testSpeeds struct {
	local        Speeds // of this daemon
	all, ownPart Speeds // arguments of the last LearnSpeeds
}

func (t *testSpeeds) Speeds() Speeds { return t.local }

func (t *testSpeeds) LearnSpeeds(all, own Speeds) { t.all, t.ownPart = all, own }

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
	Expect(acquaintance.Make(list)).To(Succeed())
	fleet := &testFleet{learned: make(chan Counts, 1)}
	exchange := &Exchange{List: list, Board: board, Fleet: fleet, Log: zap.NewNop()}
	exchange.report(ctx)
	Expect(fleet.learned).To(Receive())
	return fleet
}

func decodeSpeeds(encoded []byte) Speeds {
	GinkgoHelper()
	speeds := Speeds{}
	Expect(speeds.addEncoded(encoded)).To(Succeed())
	return speeds
}

var _ = Describe("Speeds", func() {
	one, other := Work{Pieces: 700, Answers: 100, Taken: 280}, Work{Pieces: 600, Answers: 100, Taken: 300}

	It("sums the speeds of reports and shares, and returns the reporting daemon's own part", func() {
		board := newTestBoard()
		var picture Picture
		Expect(board.Report(Sample{Member: "a", Told: Told{Speeds: Speeds{1: one, 2: other}.encode()}}, &picture)).To(Succeed())
		Expect(board.Share(Share{Aggregator: "z", Told: Told{Speeds: Speeds{1: other}.encode()}}, &ShareReply{})).To(Succeed())
		board.clock = board.clock.Add(sumTTL)
		Expect(board.Report(Sample{Member: "b", Told: Told{Speeds: Speeds{1: one}.encode()}}, &picture)).To(Succeed())
		Expect(decodeSpeeds(picture.All.Speeds)).To(Equal(Speeds{1: one.Plus(one).Plus(other), 2: other}))
		Expect(decodeSpeeds(picture.Own.Speeds)).To(Equal(Speeds{1: one}))
		share, _ := board.sumReports()
		Expect(decodeSpeeds(share.Speeds)).To(Equal(Speeds{1: one.Plus(one), 2: other}))
	})

	It("gives a newly started daemon the speeds of the others with its first picture", func(ctx SpecContext) {
		board := newTestBoard()
		var picture Picture
		Expect(board.Report(Sample{Member: "a", Told: Told{Speeds: Speeds{1: one}.encode()}}, &picture)).To(Succeed())
		board.clock = board.clock.Add(sumTTL)
		started := reportOnce(ctx, board.Board)
		Expect(started.all).To(Equal(Speeds{1: one}))
		Expect(started.ownPart).To(BeEmpty())
	})

	It("rejects speeds that can't be decoded or exceed the limit", func() {
		board := newTestBoard()
		for _, told := range [][]byte{{1}, {1, 2, 3, 4}, {1, 2, 3, 4, 1, 1}, Speeds{1: one}.encode()[:6]} {
			Expect(board.Report(Sample{Member: "a", Told: Told{Speeds: told}}, &Picture{})).To(MatchError(ContainSubstring("report of a")))
			Expect(board.Share(Share{Aggregator: "z", Told: Told{Speeds: told}}, &ShareReply{})).To(MatchError(ContainSubstring("share of z")))
		}
		tooMuch := append(Speeds{1: {Pieces: 1, Answers: 1}}.encode()[:6], 0x81, 0x80, 0x80, 0x80, 0x08) // maxWork + 1
		Expect(Speeds{}.addEncoded(tooMuch)).To(MatchError(ContainSubstring("invalid work")))
	})

	It("subtracts without falling below zero", func() {
		Expect(one.Less(other)).To(Equal(Work{Pieces: 100, Answers: 0, Taken: 0}))
	})

	It("takes at most 10 bytes an engine", func() {
		Expect(len(Speeds{1: {Pieces: 9000, Answers: 1300, Taken: 4000}}.encode())).To(BeNumerically("<=", 10))
	})
})

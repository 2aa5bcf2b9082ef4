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

// TestSpeeds reads back whatever was written, and refuses what was cut.
func TestSpeeds(t *testing.T) {
	number := rapid.IntRange(0, mostWork)
	rapid.Check(t, func(t *rapid.T) {
		speeds := Speeds{}
		for _, engine := range rapid.SliceOfDistinct(rapid.Uint32(), rapid.ID).Draw(t, "engines") {
			speeds[Key(engine)] = Work{
				Pieces: number.Draw(t, "pieces"), Answers: number.Draw(t, "answers"), Taken: number.Draw(t, "taken"),
			}
		}
		read := Speeds{}
		encoded := speeds.encode()
		if err := read.add(encoded); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(read) != fmt.Sprint(speeds) {
			t.Fatalf("%v became %v", speeds, read)
		}
		if len(encoded) > 0 && (Speeds{}).add(encoded[:len(encoded)-1]) == nil {
			t.Fatal("cut speeds were read")
		}
	})
}

// toldSpeeds is a fleet's part in the exchange of speeds.
type toldSpeeds struct {
	worked       Speeds // seen here
	all, ownPart Speeds // last heard
}

func (t *toldSpeeds) Speeds() Speeds { return t.worked }

func (t *toldSpeeds) LearnSpeeds(all, own Speeds) { t.all, t.ownPart = all, own }

// testBoard is a board whose clock stands still.
type testBoard struct {
	*Board
	clock time.Time
}

func newTestBoard() *testBoard {
	made := &testBoard{clock: time.Unix(1000, 0)}
	made.Board = NewBoard(func() time.Time { return made.clock })
	return made
}

// reportsTo lets a daemon that started a moment ago report once to a board.
func reportsTo(ctx context.Context, board *Board) *engines {
	GinkgoHelper()
	self := members.Member{Process: identity.Process{Machine: "new", Zone: "z", Region: "r"}, State: members.StateAlive}
	list := members.NewList(self, time.Now, zap.NewNop())
	Expect(acquaintance.Make(list)).To(Succeed())
	fleet := &engines{learned: make(chan Counts, 1)}
	exchange := &Exchange{List: list, Board: board, Fleet: fleet, Log: zap.NewNop()}
	exchange.report(ctx)
	Expect(fleet.learned).To(Receive())
	return fleet
}

func worked(encoded []byte) Speeds {
	GinkgoHelper()
	speeds := Speeds{}
	Expect(speeds.add(encoded)).To(Succeed())
	return speeds
}

var _ = Describe("Speeds", func() {
	one, other := Work{Pieces: 700, Answers: 100, Taken: 280}, Work{Pieces: 600, Answers: 100, Taken: 300}

	It("adds up what daemons and aggregators saw, and names the asking daemon's part", func() {
		board := newTestBoard()
		var picture Picture
		Expect(board.Report(Sample{Member: "a", Told: Told{Speeds: Speeds{1: one, 2: other}.encode()}}, &picture)).To(Succeed())
		Expect(board.Share(Share{Aggregator: "z", Told: Told{Speeds: Speeds{1: other}.encode()}}, &ShareReply{})).To(Succeed())
		board.clock = board.clock.Add(pictureKept)
		Expect(board.Report(Sample{Member: "b", Told: Told{Speeds: Speeds{1: one}.encode()}}, &picture)).To(Succeed())
		Expect(worked(picture.All.Speeds)).To(Equal(Speeds{1: one.Plus(one).Plus(other), 2: other}))
		Expect(worked(picture.Own.Speeds)).To(Equal(Speeds{1: one}))
		share, _ := board.share()
		Expect(worked(share.Speeds)).To(Equal(Speeds{1: one.Plus(one), 2: other}))
	})

	It("shows a daemon that starts with its first picture what the others saw", func(ctx SpecContext) {
		board := newTestBoard()
		var picture Picture
		Expect(board.Report(Sample{Member: "a", Told: Told{Speeds: Speeds{1: one}.encode()}}, &picture)).To(Succeed())
		board.clock = board.clock.Add(pictureKept)
		started := reportsTo(ctx, board.Board)
		Expect(started.all).To(Equal(Speeds{1: one}))
		Expect(started.ownPart).To(BeEmpty())
	})

	It("refuses what cannot be read, or is beyond belief", func() {
		board := newTestBoard()
		for _, told := range [][]byte{{1}, {1, 2, 3, 4}, {1, 2, 3, 4, 1, 1}, Speeds{1: one}.encode()[:6]} {
			Expect(board.Report(Sample{Member: "a", Told: Told{Speeds: told}}, &Picture{})).To(MatchError(ContainSubstring("report of a")))
			Expect(board.Share(Share{Aggregator: "z", Told: Told{Speeds: told}}, &ShareReply{})).To(MatchError(ContainSubstring("share of z")))
		}
		tooMuch := append(Speeds{1: {Pieces: 1, Answers: 1}}.encode()[:6], 0x81, 0x80, 0x80, 0x80, 0x08) // mostWork and one
		Expect(Speeds{}.add(tooMuch)).To(MatchError(ContainSubstring("cannot be read")))
	})

	It("takes out no more than there is", func() {
		Expect(one.Less(other)).To(Equal(Work{Pieces: 100, Answers: 0, Taken: 0}))
	})

	It("needs few bytes an engine", func() {
		Expect(len(Speeds{1: {Pieces: 9000, Answers: 1300, Taken: 4000}}.encode())).To(BeNumerically("<=", 10))
	})
})

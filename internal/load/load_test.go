package load

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "load")
}

var _ = Describe("Board", func() {
	var now time.Time
	var board *Board

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		board = NewBoard(func() time.Time { return now })
	})

	post := func(member string, underWay map[string]int) Picture {
		GinkgoHelper()
		var picture Picture
		Expect(board.Post(Post{Member: member, UnderWay: underWay}, &picture)).To(Succeed())
		return picture
	}

	It("adds up what all have under way, the asking daemon's own included", func() {
		post("a", map[string]int{"e1": 2, "e2": 1})
		post("b", map[string]int{"e1": 3})
		picture := post("c", map[string]int{"e3": 1})
		Expect(picture).To(Equal(Picture{UnderWay: map[string]int{"e1": 5, "e2": 1, "e3": 1}}))
	})

	It("counts a daemon's last post alone", func() {
		post("a", map[string]int{"e1": 9})
		Expect(post("a", map[string]int{"e1": 1}).UnderWay).To(Equal(map[string]int{"e1": 1}))
	})

	It("forgets daemons that post no more", func() {
		post("a", map[string]int{"e1": 9})
		now = now.Add(postKept + time.Millisecond)
		Expect(post("b", nil)).To(Equal(Picture{UnderWay: map[string]int{}}))
	})
})

// engines stands for a daemon's fleet.
type engines struct {
	own     map[string]int
	learned chan map[string]int
}

func (e *engines) UnderWay() map[string]int { return e.own }

func (e *engines) Learn(all, _ map[string]int) { e.learned <- all }

var _ = Describe("Poster", func() {
	// daemons are posters on one list, each with one request at an engine of its name.
	daemons := func(names ...string) (posters []*Poster, servers []*peer.Server) {
		GinkgoHelper()
		var lists []*members.List
		for _, name := range names {
			server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			pool := peer.NewPool(peer.Options{})
			DeferCleanup(pool.Close)
			self := members.Member{Process: identity.Process{Machine: identity.Machine(name), Zone: "z", Region: "r", Address: server.Address()}}
			poster := &Poster{
				List: members.NewList(self, time.Now, zap.NewNop()), Caller: pool, Board: NewBoard(time.Now),
				Fleet: &engines{own: map[string]int{name: 1}, learned: make(chan map[string]int, 1)},
			}
			Expect(server.Register(ServiceName, poster.Board)).To(Succeed())
			lists = append(lists, poster.List)
			posters = append(posters, poster)
			servers = append(servers, server)
		}
		Expect(acquaintance.Make(lists...)).To(Succeed())
		return posters, servers
	}
	// learn posts until the daemon learned of so many engines.
	learn := func(ctx context.Context, poster *Poster, engineCount int) {
		GinkgoHelper()
		Eventually(func() map[string]int {
			poster.post(ctx)
			select {
			case learned := <-poster.Fleet.(*engines).learned:
				return learned
			default:
				return nil
			}
		}).Should(HaveLen(engineCount))
	}

	It("shows each daemon what the others have under way", func(ctx SpecContext) {
		posters, _ := daemons("a", "b", "c")
		for _, poster := range posters {
			poster.post(ctx)
			<-poster.Fleet.(*engines).learned
		}
		for _, poster := range posters {
			learn(ctx, poster, 3)
		}
	})

	It("passes over a board that is gone", func(ctx SpecContext) {
		posters, servers := daemons("a", "b", "c")
		homes := posters[0].List.Homes(boardKey)
		board := homes.At(0).Process
		var living []*Poster
		for index, poster := range posters {
			if poster.List.Self() == board {
				Expect(servers[index].Close()).To(Succeed())
				continue
			}
			living = append(living, poster)
		}
		learn(ctx, living[0], 1)
		learn(ctx, living[1], 2)
	})

	It("posts less often the more daemons there are", func() {
		posters, _ := daemons("a")
		Expect(posters[0].interval()).To(Equal(leastInterval))
	})
})

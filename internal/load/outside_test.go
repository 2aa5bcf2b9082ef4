package load

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
)

// slowAggregator is a peer client whose calls all reach one board and are answered late.
type slowAggregator struct {
	board *Board
	mutex sync.Mutex
	delay time.Duration
}

func (s *slowAggregator) Call(_ context.Context, _ string, _ peer.Class, _ string, arguments, reply any) error {
	err := s.board.Report(arguments.(ReportRequest), reply.(*ReportReply))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	time.Sleep(s.delay)
	return err
}

func (s *slowAggregator) setDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

var _ = Describe("Contact with other groups", func() {
	var aggregator *slowAggregator
	var reporter *Exchange

	BeforeEach(func() {
		view := fleetView(3, 15) // so many that each zone is a group
		self := view.Members[1]  // a small machine, which is no aggregator
		list := members.NewList(self, time.Now, zap.NewNop())
		for _, member := range view.Members {
			row, err := acquaintance.Row(member)
			Expect(err).NotTo(HaveOccurred())
			list.Apply([]state.Row{row})
		}
		aggregator = &slowAggregator{board: NewBoard(time.Now)}
		reporter = &Exchange{
			List: list, PeerClient: aggregator, Board: NewBoard(time.Now), Fleet: &testFleet{updates: make(chan Counts, 9)}, Log: zap.NewNop(),
		}
	})

	lastContact := func(ctx context.Context) time.Time {
		GinkgoHelper()
		reporter.report(ctx)
		at, known := reporter.LastOutsideContact()
		Expect(known).To(BeTrue())
		return at
	}

	// Guards against a last contact that moves with the time that a reply takes.
	It("stays the same while the aggregator has no new one, however long its replies take", func(ctx SpecContext) {
		aggregator.board.recordOutsideContact()
		first := lastContact(ctx)
		aggregator.setDelay(30 * time.Millisecond)
		Expect(lastContact(ctx)).To(Equal(first))
		aggregator.setDelay(0)
		Expect(lastContact(ctx)).To(Equal(first))
	})

	// Guards against a last contact that is later than the true one.
	It("is never later than the true one, and never falls", func(ctx SpecContext) {
		aggregator.setDelay(30 * time.Millisecond)
		latest := time.Time{}
		for range 3 {
			aggregator.board.recordOutsideContact()
			contacted := time.Now()
			told := lastContact(ctx)
			Expect(told).NotTo(BeTemporally(">", contacted))
			Expect(told).NotTo(BeTemporally("<", latest))
			latest = told
		}
	})
})

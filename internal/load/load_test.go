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
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "load")
}

func decodeCounts(encoded []byte) Counts {
	GinkgoHelper()
	counts := Counts{}
	Expect(counts.addEncoded(encoded)).To(Succeed())
	return counts
}

// TestCounts checks that encoded counts decode to the same counts, and that truncated input is
// rejected.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := Counts{}
		for engine, count := range rapid.MapOf(rapid.Uint32(), rapid.IntRange(1, maxCount)).Draw(t, "counts") {
			counts[Digest(engine)] = count
		}
		decoded := Counts{}
		encoded := counts.encode()
		if err := decoded.addEncoded(encoded); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded) != fmt.Sprint(counts) {
			t.Fatalf("%v was decoded as %v", counts, decoded)
		}
		if len(encoded) > 0 && (Counts{}).addEncoded(encoded[:len(encoded)-1]) == nil {
			t.Fatal("truncated counts were accepted")
		}
	})
}

var _ = Describe("Board", func() {
	var now time.Time
	var board *Board

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		board = NewBoard(func() time.Time { return now })
	})

	report := func(member string, underWay Counts) ReportReply {
		GinkgoHelper()
		var reply ReportReply
		Expect(board.Report(ReportRequest{Member: member, Told: EncodedStats{UnderWay: underWay.encode()}}, &reply)).To(Succeed())
		return reply
	}

	It("sums the counts of all daemons and returns the reporting daemon's own part", func() {
		report("a", Counts{1: 2, 2: 1})
		report("b", Counts{1: 3})
		now = now.Add(sumTTL)
		reply := report("c", Counts{3: 1})
		Expect(decodeCounts(reply.All.UnderWay)).To(Equal(Counts{1: 5, 2: 1, 3: 1}))
		Expect(decodeCounts(reply.Own.UnderWay)).To(Equal(Counts{3: 1}))
	})

	It("returns the report that the cached sums include as the daemon's own part", func() {
		report("a", Counts{1: 2})
		reply := report("a", Counts{1: 7})
		Expect(decodeCounts(reply.All.UnderWay)).To(Equal(Counts{1: 2}))
		Expect(decodeCounts(reply.Own.UnderWay)).To(Equal(Counts{1: 2}))
		now = now.Add(sumTTL)
		reply = report("b", Counts{})
		Expect(decodeCounts(reply.All.UnderWay)).To(Equal(Counts{1: 7}))
		Expect(reply.Own.UnderWay).To(BeEmpty())
	})

	It("drops reports and shares that have expired", func() {
		report("a", Counts{1: 9})
		Expect(board.Share(Share{Aggregator: "z", Told: EncodedStats{UnderWay: Counts{2: 4}.encode()}}, &ShareReply{})).To(Succeed())
		now = now.Add(reportTTL)
		Expect(decodeCounts(report("b", Counts{}).All.UnderWay)).To(Equal(Counts{1: 9, 2: 4}))
		now = now.Add(time.Millisecond)
		now = now.Add(sumTTL)
		Expect(decodeCounts(report("b", Counts{}).All.UnderWay)).To(BeEmpty())
	})

	It("counts a daemon once when it reports again after its report expired", func() {
		report("a", Counts{1: 2})
		now = now.Add(reportTTL + time.Millisecond)
		report("b", Counts{})
		var reply ReportReply
		Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{UnderWay: Counts{1: 3}.encode()}}, &reply)).To(Succeed())
		now = now.Add(sumTTL)
		Expect(board.Report(ReportRequest{Member: "b"}, &reply)).To(Succeed())
		Expect(decodeCounts(reply.All.UnderWay)).To(Equal(Counts{1: 3}))
	})

	It("sums only its own reports for a share", func() {
		report("a", Counts{1: 9})
		Expect(board.Share(Share{Aggregator: "z", Told: EncodedStats{UnderWay: Counts{2: 4}.encode()}}, &ShareReply{})).To(Succeed())
		share, reporters := board.sumReports()
		Expect(decodeCounts(share.UnderWay)).To(Equal(Counts{1: 9}))
		Expect(reporters).To(Equal(1))
	})

	It("returns the time since the last contact with another group, once there was one", func() {
		Expect(report("a", Counts{}).Outside.Heard).To(BeFalse())
		contacted := now
		board.recordOutsideContact()
		now = now.Add(time.Second)
		Expect(report("a", Counts{}).Outside).To(Equal(OutsideContact{Heard: true, Lasted: time.Second, Contact: contacted.UnixNano()}))
		board.recordOutsideContact()
		Expect(report("a", Counts{}).Outside.Lasted).To(BeZero())
		board.clearOutsideContact()
		Expect(report("a", Counts{}).Outside.Heard).To(BeFalse())
	})

	It("rejects reports and shares that can't be decoded", func() {
		Expect(board.Report(ReportRequest{Member: "a", Told: EncodedStats{UnderWay: []byte{1}}}, &ReportReply{})).To(MatchError(ContainSubstring("report of a")))
		Expect(board.Share(Share{Aggregator: "z", Told: EncodedStats{UnderWay: []byte{1, 2, 3, 4}}}, &ShareReply{})).To(MatchError(ContainSubstring("share of z")))
	})
})

// fleetView returns a view of members in zones. Every tenth member of a zone is a large machine.
func fleetView(zones, perZone int) *members.View {
	view := &members.View{Version: 1}
	for zone := range zones {
		for number := range perZone {
			capacity := 0.2
			if number%10 == 0 {
				capacity = 0.8
			}
			view.Members = append(view.Members, members.Member{
				Process: identity.Process{
					Machine: identity.Machine(fmt.Sprintf("z%d-%d", zone, number)), Zone: identity.Zone(fmt.Sprint("z", zone)), Region: "r",
				},
				Capacity: capacity, State: members.StateAlive,
			})
		}
	}
	return view
}

var _ = Describe("Plan", func() {
	anyMember := func(members.Member) bool { return true }

	It("selects the same aggregators at all daemons of a zone, and prefers large machines", func() {
		view := fleetView(6, 50)
		first, second := newPlan(view, view.Members[0].Process), newPlan(view, view.Members[49].Process)
		Expect(first.own).To(Equal(second.own))
		Expect(first.own.chooseAggregators(anyMember)).To(HaveLen(2))
		Expect(first.others).To(HaveLen(5))
		for _, chosen := range first.own.chooseAggregators(anyMember) {
			Expect(chosen.Capacity).To(Equal(0.8))
		}
	})

	It("makes one group of a small region", func() {
		view := fleetView(4, 3)
		plan := newPlan(view, view.Members[0].Process)
		Expect(plan.others).To(BeEmpty())
		Expect(plan.own.aggregators).To(Equal(1))
		Expect(plan.own).To(Equal(newPlan(view, view.Members[11].Process).own))
	})

	It("replaces aggregators that are skipped", func() {
		view := fleetView(6, 50)
		plan := newPlan(view, view.Members[0].Process)
		gone := plan.own.chooseAggregators(anyMember)[0].Process
		chosen := plan.own.chooseAggregators(func(member members.Member) bool { return member.Process != gone })
		Expect(chosen).To(HaveLen(2))
		Expect(chosen).NotTo(ContainElement(HaveField("Process", gone)))
	})

	It("bounds the reports to an aggregator and the number of its peers, however large the fleet is", func() {
		for _, each := range []int{12, 35, 120} {
			view := fleetView(11, each)
			plan := newPlan(view, view.Members[0].Process)
			Expect(each / plan.own.aggregators).To(BeNumerically("<=", maxReportersPerAggregator))
			peers := plan.own.aggregators - 1
			for _, other := range plan.others {
				peers += other.aggregators
			}
			Expect(peers).To(BeNumerically("<=", 11*(each/maxReportersPerAggregator+1)))
		}
	})

	It("leaves out dead members", func() {
		view := fleetView(1, 2)
		view.Members[0].State = members.StateDead
		Expect(newPlan(view, view.Members[1].Process).own.candidates).To(HaveLen(1))
	})
})

// testFleet is a Fleet with fixed counts. It sends the counts of the other daemons to updates.
type testFleet struct {
	own     Counts
	updates chan Counts
	testSpeeds
}

func (e *testFleet) InFlightCounts() Counts { return e.own }

func (e *testFleet) UpdateCounts(all, own Counts) {
	for engine, count := range own {
		all[engine] -= count
	}
	e.updates <- all
}

var _ = Describe("Exchange", func() {
	// testDaemon is a daemon with one request in flight at an engine of its own.
	type testDaemon struct {
		*Exchange
		server *peer.Server
		fleet  *testFleet
	}
	// startDaemons starts perZone daemons in each zone. If these are more than
	// maxReportersPerAggregator in all, each zone is a group.
	startDaemons := func(zones, perZone int) []*testDaemon {
		GinkgoHelper()
		var started []*testDaemon
		var lists []*members.List
		for number := range zones * perZone {
			server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			pool := peer.NewPool(peer.Options{})
			DeferCleanup(pool.Close)
			self := members.Member{Process: identity.Process{
				Machine: identity.Machine(fmt.Sprintf("d%03d", number)), Zone: identity.Zone(fmt.Sprint("z", number%zones)), Region: "r", Address: server.Address(),
			}}
			fleet := &testFleet{own: Counts{Digest(number): 1}, updates: make(chan Counts, 1)}
			exchange := &Exchange{
				List: members.NewList(self, time.Now, zap.NewNop()), PeerClient: pool, Board: NewBoard(time.Now), Fleet: fleet, Log: zap.NewNop(),
			}
			Expect(server.Register(ServiceName, exchange.Board)).To(Succeed())
			lists = append(lists, exchange.List)
			started = append(started, &testDaemon{Exchange: exchange, server: server, fleet: fleet})
		}
		Expect(acquaintance.FillLists(lists...)).To(Succeed())
		return started
	}
	// exchangeOnce lets all daemons report and then share once. It discards the counts that they
	// receive.
	exchangeOnce := func(ctx context.Context, all []*testDaemon) {
		for _, each := range all {
			each.report(ctx)
			select {
			case <-each.fleet.updates:
			default:
			}
		}
		for _, each := range all {
			each.share(ctx)
		}
	}
	// awaitCounts repeats exchangeOnce until the asking daemon has received the counts of
	// engineCount other engines.
	awaitCounts := func(ctx context.Context, all []*testDaemon, asking *testDaemon, engineCount int) {
		GinkgoHelper()
		Eventually(func() Counts {
			exchangeOnce(ctx, all)
			asking.report(ctx)
			select {
			case received := <-asking.fleet.updates:
				for engine, count := range received {
					if count == 0 {
						delete(received, engine)
					}
				}
				return received
			default:
				return nil
			}
		}).Should(HaveLen(engineCount))
	}

	It("delivers the counts of the others to each daemon, across zones", func(ctx SpecContext) {
		all := startDaemons(3, 15)
		awaitCounts(ctx, all, all[0], 44)
		awaitCounts(ctx, all, all[44], 44)
	})

	It("switches to another aggregator when one stops", func(ctx SpecContext) {
		all := startDaemons(3, 15)
		awaitCounts(ctx, all, all[0], 44)
		gone := all[0].currentPlan().own.candidates[0].Process
		var alive []*testDaemon
		for _, each := range all {
			if each.List.Self() == gone {
				Expect(each.server.Close()).To(Succeed())
				continue
			}
			alive = append(alive, each)
		}
		awaitCounts(ctx, alive, alive[0], 43)
		awaitCounts(ctx, alive, alive[43], 43)
	})

	It("continues within a zone that is cut off from the others", func(ctx SpecContext) {
		all := startDaemons(3, 15)
		var zone []*testDaemon
		for _, each := range all {
			if each.List.Self().Zone == "z0" {
				zone = append(zone, each)
				continue
			}
			Expect(each.server.Close()).To(Succeed())
		}
		awaitCounts(ctx, zone, zone[0], 14)
	})

	It("tells all daemons of a zone when other zones were last heard", func(ctx SpecContext) {
		all := startDaemons(3, 15)
		var zone []*testDaemon
		for _, each := range all {
			if each.List.Self().Zone == "z0" {
				zone = append(zone, each)
			}
		}
		last := zone[len(zone)-1]
		awaitCounts(ctx, all, last, 44)
		lastContact, known := last.LastOutsideContact()
		Expect(known).To(BeTrue())
		for _, each := range all {
			if each.List.Self().Zone != "z0" {
				Expect(each.server.Close()).To(Succeed())
			}
		}
		awaitCounts(ctx, zone, last, 14)
		afterCut, known := last.LastOutsideContact()
		Expect(known).To(BeTrue())
		awaitCounts(ctx, zone, last, 14)
		afterRepeat, _ := last.LastOutsideContact()
		Expect(afterRepeat).To(BeTemporally("~", afterCut, time.Millisecond), "the time of the last contact stays the same during a silence")
		last.recordOutside(members.Member{}, time.Now(), OutsideContact{})
		afterRestart, known := last.LastOutsideContact()
		Expect(known).To(BeTrue(), "a restarted aggregator doesn't clear the last contact")
		Expect(afterRestart).To(Equal(afterRepeat))
		Expect(afterCut).To(BeTemporally(">=", lastContact.Add(-time.Millisecond)))
	})

	It("sends one report, and as an aggregator one share to each other aggregator, however many daemons there are", func(ctx SpecContext) {
		calls := 0
		for _, each := range []int{20, 39} {
			view := fleetView(6, each)
			list := members.NewList(view.Members[0], time.Now, zap.NewNop())
			for _, member := range view.Members {
				row, err := acquaintance.Row(member)
				Expect(err).NotTo(HaveOccurred())
				list.Apply([]state.Row{row})
			}
			counted := &Exchange{
				List: list, PeerClient: countingClient{&calls}, Board: NewBoard(time.Now),
				Fleet: &testFleet{updates: make(chan Counts, 9)}, Log: zap.NewNop(),
			}
			Expect(counted.Board.Report(ReportRequest{Member: "another"}, &ReportReply{})).To(Succeed())
			calls = 0
			counted.share(ctx)
			Expect(calls).To(BeNumerically("<=", 6))
			calls = 0
			counted.report(ctx)
			Expect(calls).To(BeNumerically("<=", 1))
		}
	})
})

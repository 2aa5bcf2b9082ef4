package beginning

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/engineloss"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

func TestBeginning(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "beginning")
}

func workOf(name string) engineloss.Work {
	return engineloss.WorkOf(engineloss.Description{Program: name})
}

func streamOf(name, attempt string, began int64) Stream {
	return Stream{Work: workOf(name), Attempt: attempt, Origin: attempt, Service: "s", Version: "v1", Began: began}
}

func queryOf(name, lastEvent string) Query {
	return Query{Work: workOf(name), Service: "s", Version: "v1", LastEvent: lastEvent}
}

// outputOf returns the output of the given number of events and its marks. The data of each event depend on
// the text.
func outputOf(text string, events int) (output []byte, marks []Mark) {
	for number := range events {
		output = fmt.Appendf(output, "%s%d\n", text, number+1)
		marks = append(marks, Mark{ID: fmt.Sprint(number + 1), End: len(output)})
	}
	return output, marks
}

func partOf(stream Stream, text string, from, to int) Part {
	output, marks := outputOf(text, to)
	start := 0
	if from > 0 {
		start = marks[from-1].End
	}
	return Part{Stream: stream, From: start, Output: output[start:], Marks: marks[from:], Keep: time.Minute}
}

var _ = Describe("Records", func() {
	const unlimited = 1 << 20
	var now time.Time
	newRecords := func(maxStreams, maxBytes int) *Records {
		GinkgoHelper()
		now = time.Unix(1000, 0)
		records, err := NewRecords(maxStreams, maxBytes, func() time.Time { return now })
		Expect(err).NotTo(HaveOccurred())
		return records
	}
	find := func(records *Records, query Query) string {
		found, _ := records.find(query)
		return string(found.Output)
	}

	It("return the events up to the one that is asked for, until their time is over", func() {
		records := newRecords(8, unlimited)
		stream := streamOf("p", "a", 1)
		records.add(partOf(stream, "x", 0, 2))
		records.add(partOf(stream, "x", 2, 5))
		Expect(find(records, queryOf("p", "3"))).To(Equal("x1\nx2\nx3\n"))
		Expect(find(records, queryOf("p", "5"))).To(Equal("x1\nx2\nx3\nx4\nx5\n"))
		Expect(find(records, queryOf("p", "6"))).To(BeEmpty())
		Expect(find(records, queryOf("q", "1"))).To(BeEmpty())
		now = now.Add(time.Minute)
		Expect(find(records, queryOf("p", "3"))).To(BeEmpty())
	})

	// Guards against a stream that is recorded with events of another version, service or stream.
	It("return nothing that another origin, service or version began", func() {
		records := newRecords(8, unlimited)
		records.add(partOf(streamOf("p", "a", 1), "x", 0, 2))
		for _, change := range []func(*Query){
			func(q *Query) { q.Origin = "b" }, func(q *Query) { q.Service = "t" }, func(q *Query) { q.Version = "v2" },
		} {
			query := queryOf("p", "2")
			change(&query)
			Expect(find(records, query)).To(BeEmpty())
		}
		query := queryOf("p", "2")
		query.Origin = "a"
		Expect(find(records, query)).NotTo(BeEmpty())
	})

	// Guards against output with a gap, or with bytes twice, if parts are lost, repeated or late.
	It("take parts in any order without a gap or a repetition", func() {
		records := newRecords(8, unlimited)
		stream := streamOf("p", "a", 1)
		known, isCurrent := records.add(partOf(stream, "x", 1, 2))
		Expect(known).To(BeZero())
		Expect(isCurrent).To(BeTrue())
		records.add(partOf(stream, "x", 0, 2))
		records.add(partOf(stream, "x", 3, 4))
		Expect(find(records, queryOf("p", "4"))).To(BeEmpty())
		records.add(partOf(stream, "x", 1, 4))
		records.add(partOf(stream, "x", 0, 1))
		Expect(find(records, queryOf("p", "4"))).To(Equal("x1\nx2\nx3\nx4\n"))
	})

	// Guards against an earlier attempt whose parts arrive late and replace what the caller got since.
	It("keep the later of two attempts at the work", func() {
		records := newRecords(8, unlimited)
		records.add(partOf(streamOf("p", "a", 1), "x", 0, 2))
		records.add(partOf(streamOf("p", "b", 2), "y", 0, 1))
		_, isCurrent := records.add(partOf(streamOf("p", "a", 1), "x", 0, 3))
		Expect(isCurrent).To(BeFalse())
		Expect(find(records, queryOf("p", "1"))).To(Equal("y1\n"))
		Expect(find(records, queryOf("p", "2"))).To(BeEmpty())
	})

	It("hold at most the streams and bytes that they may, and give up those used least recently", func() {
		records := newRecords(2, unlimited)
		for _, name := range []string{"p", "q", "r"} {
			records.add(partOf(streamOf(name, name, 1), "x", 0, 1))
		}
		Expect(records.Len()).To(Equal(2))
		Expect(find(records, queryOf("p", "1"))).To(BeEmpty())
		const maxBytes = 20_000
		records = newRecords(100, maxBytes)
		for number := range 50 {
			name := fmt.Sprint(number)
			records.add(partOf(streamOf(name, name, 1), "some longer text of an event ", 0, 20))
			Expect(records.bytes).To(BeNumerically("<=", maxBytes))
		}
		Expect(records.Len()).To(BeNumerically(">", 2))
		Expect(find(records, queryOf("49", "20"))).NotTo(BeEmpty())
	})
})

// fleet is a number of daemons that call each other in memory. Daemons can be lost.
type fleet struct {
	exchanges []*Exchange
	mutex     sync.Mutex
	byAddress map[string]*Records // nil: the daemon is lost
}

// Call implements peer.Client.
func (f *fleet) Call(_ context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	f.mutex.Lock()
	records := f.byAddress[address]
	f.mutex.Unlock()
	if records == nil {
		return eris.New("lost")
	}
	if method == methodKeep {
		return NewService(records).Keep(arguments.(Part), reply.(*KeepReply))
	}
	return NewService(records).Find(arguments.(Query), reply.(*FindReply))
}

func newFleet(daemons int) *fleet {
	GinkgoHelper()
	f := &fleet{byAddress: map[string]*Records{}}
	var lists []*members.List
	for number := range daemons {
		address := fmt.Sprint("d", number)
		records, err := NewRecords(1<<10, 1<<20, time.Now)
		Expect(err).NotTo(HaveOccurred())
		f.byAddress[address] = records
		list := members.NewList(members.Member{Process: identity.Process{
			Machine: identity.Machine(address), Zone: identity.Zone(fmt.Sprint("z", number%3)), Region: "r", Address: address,
		}}, time.Now, zap.NewNop())
		lists = append(lists, list)
		f.exchanges = append(f.exchanges, NewExchange(records, list, f, zap.NewNop()))
	}
	Expect(acquaintance.FillLists(lists...)).To(Succeed())
	return f
}

func (f *fleet) lose(daemon int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.byAddress[fmt.Sprint("d", daemon)] = nil
}

var _ = Describe("Exchange", func() {
	const events = 40

	// relay relays a stream event by event, as a daemon does.
	relay := func(exchange *Exchange, stream Stream) {
		output, marks := outputOf("x", events)
		relayed := exchange.Relay(stream, time.Minute)
		for number := range marks {
			relayed.Extend(output[:marks[number].End], marks[:number+1])
		}
		relayed.End()
	}
	whole, _ := outputOf("x", events)

	// Guards against beginnings that are lost with the daemon that served the stream.
	DescribeTable("finds the beginnings of streams whose daemon is lost, at each other daemon", func(ctx SpecContext, daemons int) {
		f := newFleet(daemons)
		const streams = 20
		for number := range streams {
			relay(f.exchanges[0], streamOf(fmt.Sprint(number), "a", 1))
		}
		Eventually(f.exchanges[0].relayed.Load).Should(BeZero())
		f.lose(0)
		for number := range streams {
			for _, exchange := range f.exchanges[1:] {
				found, isKnown := exchange.Find(ctx, queryOf(fmt.Sprint(number), fmt.Sprint(events)))
				Expect(isKnown).To(BeTrue())
				Expect(found.Output).To(Equal(whole))
				Expect(found.Marks).To(HaveLen(events))
			}
		}
	}, Entry("of 3", 3), Entry("of 12", 12), Entry("of 150", 150))

	// Guards against a stream that nobody else knows since a daemon that is told fails in its middle.
	It("tells another daemon from the start if one fails", func(ctx SpecContext) {
		f := newFleet(12)
		stream := streamOf("p", "a", 1)
		homes := f.exchanges[0].list.LikelyHomes(stream.Work.Key)
		output, marks := outputOf("x", events)
		relayed := f.exchanges[0].Relay(stream, time.Minute)
		relayed.Extend(output[:marks[9].End], marks[:10])
		for _, lost := range homes[:replicas] {
			f.mutex.Lock()
			f.byAddress[lost.Process.Address] = nil
			f.mutex.Unlock()
		}
		relayed.Extend(output, marks)
		relayed.End()
		Eventually(f.exchanges[0].relayed.Load).Should(BeZero())
		f.lose(0)
		found, isKnown := f.exchanges[11].Find(ctx, queryOf("p", fmt.Sprint(events)))
		Expect(isKnown).To(BeTrue())
		Expect(found.Output).To(Equal(whole))
	})

	It("reports what no daemon knows as not known", func(ctx SpecContext) {
		_, isKnown := newFleet(5).exchanges[2].Find(ctx, queryOf("p", "1"))
		Expect(isKnown).To(BeFalse())
	})
})

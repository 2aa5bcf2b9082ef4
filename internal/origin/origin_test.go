package origin

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

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

var _ = Describe("Records", func() {
	var now time.Time
	var records *Records
	began := Origin{Service: "s", Version: "v1"}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		var err error
		records, err = NewRecords(2, func() time.Time { return now })
		Expect(err).NotTo(HaveOccurred())
	})

	It("return an origin until its time is over", func() {
		records.add(Record{Stream: StreamOf("a"), Origin: began, Keep: time.Second})
		now = now.Add(999 * time.Millisecond)
		found, isKnown := records.find(StreamOf("a"))
		Expect(isKnown).To(BeTrue())
		Expect(found).To(Equal(Record{Stream: StreamOf("a"), Origin: began, Keep: time.Millisecond}))
		now = now.Add(time.Millisecond)
		_, isKnown = records.find(StreamOf("a"))
		Expect(isKnown).To(BeFalse())
	})

	It("keep an origin as long as the longest record asks for", func() {
		records.add(Record{Stream: StreamOf("a"), Origin: began, Keep: time.Minute})
		records.add(Record{Stream: StreamOf("a"), Origin: began, Keep: time.Second})
		now = now.Add(30 * time.Second)
		_, isKnown := records.find(StreamOf("a"))
		Expect(isKnown).To(BeTrue())
	})

	// Guards against a guess between two origins of one identifier.
	It("do not return an origin once another one was recorded for the same stream", func() {
		for _, version := range []string{"v1", "v2", "v2"} {
			records.add(Record{Stream: StreamOf("a"), Origin: Origin{Service: "s", Version: version}, Keep: time.Minute})
		}
		_, isKnown := records.find(StreamOf("a"))
		Expect(isKnown).To(BeFalse())
	})

	It("replace the record that was used least recently when they are full", func() {
		for _, id := range []string{"a", "b"} {
			records.add(Record{Stream: StreamOf(id), Origin: began, Keep: time.Minute})
		}
		records.find(StreamOf("a"))
		records.add(Record{Stream: StreamOf("c"), Origin: began, Keep: time.Minute})
		_, isKnown := records.find(StreamOf("b"))
		Expect(isKnown).To(BeFalse())
		Expect(records.Len()).To(Equal(2))
	})
})

// fleet is a number of daemons that call each other in memory. Daemons can be lost, or fall silent.
type fleet struct {
	exchanges []*Exchange
	mutex     sync.Mutex
	byAddress map[string]*Records // nil: the daemon is lost
	silent    map[string]bool
	calls     int
}

// Call implements peer.Client.
func (f *fleet) Call(ctx context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	f.mutex.Lock()
	f.calls++
	records, isSilent := f.byAddress[address], f.silent[address]
	f.mutex.Unlock()
	switch {
	case isSilent:
		<-ctx.Done()
		return ctx.Err()
	case records == nil:
		return eris.New("connection refused")
	case method == methodKeep:
		return NewService(records).Keep(arguments.(Record), reply.(*KeepReply))
	default:
		return NewService(records).Find(arguments.(FindRequest), reply.(*FindReply))
	}
}

func (f *fleet) lose(number int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.byAddress[f.exchanges[number].list.Self().Address] = nil
}

// callsDuring returns the number of calls that daemons make meanwhile.
func (f *fleet) callsDuring(do func()) int {
	f.mutex.Lock()
	before := f.calls
	f.mutex.Unlock()
	do()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls - before
}

func newFleet(daemons, zones int) *fleet {
	GinkgoHelper()
	f := &fleet{byAddress: map[string]*Records{}, silent: map[string]bool{}}
	var lists []*members.List
	for number := range daemons {
		self := identity.Process{
			Machine: identity.Machine(fmt.Sprintf("d%03d", number)), Zone: identity.Zone(fmt.Sprint("z", number%zones)), Region: "r", Address: fmt.Sprint("a", number),
		}
		records, err := NewRecords(1000, time.Now)
		Expect(err).NotTo(HaveOccurred())
		f.byAddress[self.Address] = records
		lists = append(lists, members.NewList(members.Member{Process: self}, time.Now, zap.NewNop()))
		f.exchanges = append(f.exchanges, NewExchange(records, lists[number], f, zap.NewNop()))
	}
	Expect(acquaintance.FillLists(lists...)).To(Succeed())
	return f
}

// awaitTold waits until no record is being told.
func (e *Exchange) awaitTold() {
	GinkgoHelper()
	Eventually(e.telling.Load).WithTimeout(time.Minute).Should(BeZero())
}

var _ = Describe("Exchange", func() {
	const keep = time.Minute
	began := Origin{Service: "s", Version: "v1"}

	DescribeTable("makes as many calls for a stream in a fleet of any size", func(ctx SpecContext, daemons int) {
		const streams, zones, homesPerGroup = 20, 6, 3
		f := newFleet(daemons, zones)
		told := f.callsDuring(func() {
			for number := range streams {
				f.exchanges[0].Record(StreamOf(fmt.Sprint(number)), began, keep)
			}
			f.exchanges[0].awaitTold()
		})
		Expect(told).To(BeNumerically("<=", streams*homesPerGroup))
		asked := f.callsDuring(func() {
			for number := range streams {
				found, isKnown := f.exchanges[daemons-1].Find(ctx, StreamOf(fmt.Sprint(number)))
				Expect(isKnown).To(BeTrue())
				Expect(found).To(Equal(began))
			}
		})
		Expect(asked).To(BeNumerically("<=", streams*homesPerGroup*(1+zones)), "the homes of the region and of each zone")
	},
		Entry("12 daemons", 12), Entry("84 daemons", 84), Entry("390 daemons", 390),
	)

	// Guards against origins that are forgotten with the daemons that are lost together.
	It("finds more than half of the origins after six in ten daemons are lost at once, among them all that served", func(ctx SpecContext) {
		const daemons, lost, streams = 40, 24, 400
		f := newFleet(daemons, 4)
		for number := range streams {
			serving := f.exchanges[number%lost]
			serving.Record(StreamOf(fmt.Sprint(number)), began, keep)
			serving.awaitTold()
		}
		for number := range lost {
			f.lose(number)
		}
		found := 0
		for number := range streams {
			if _, isKnown := f.exchanges[lost+number%(daemons-lost)].Find(ctx, StreamOf(fmt.Sprint(number))); isKnown {
				found++
			}
		}
		GinkgoWriter.Printf("found %d of %d\n", found, streams)
		Expect(found).To(BeNumerically(">", streams/2))
	})

	// Guards against a stream that fewer daemons know because the serving one is a home itself.
	It("finds all origins after any half of six daemons is lost", func(ctx SpecContext) {
		const daemons, lost, streams = 6, 3, 60
		for number := range streams {
			f := newFleet(daemons, 2)
			stream := StreamOf(fmt.Sprint(number))
			f.exchanges[0].Record(stream, began, keep)
			f.exchanges[0].awaitTold()
			for _, other := range append([]int{0}, 1+number%5, 1+(number+1+number/5%4)%5)[:lost] {
				f.lose(other)
			}
			for reader := range daemons {
				if f.byAddress[f.exchanges[reader].list.Self().Address] == nil {
					continue
				}
				_, isKnown := f.exchanges[reader].Find(ctx, stream)
				Expect(isKnown).To(BeTrue())
			}
		}
	})

	It("tells further daemons when homes do not confirm, and finds the origin there", func(ctx SpecContext) {
		f := newFleet(12, 4)
		stream := StreamOf("a")
		for _, home := range f.exchanges[0].likelyMembers(stream)[:maxReplicas] {
			f.byAddress[home.Process.Address] = nil
		}
		f.exchanges[0].Record(stream, began, keep)
		f.exchanges[0].awaitTold()
		f.lose(0)
		found, isKnown := f.exchanges[1].Find(ctx, stream)
		Expect(isKnown).To(BeTrue())
		Expect(found).To(Equal(began))
	})

	It("does not wait for a daemon that does not answer while another one knows the origin", func(ctx SpecContext) {
		f := newFleet(12, 4)
		stream := StreamOf("a")
		told := f.exchanges[0].likelyMembers(stream)
		f.exchanges[0].Record(stream, began, keep)
		f.exchanges[0].awaitTold()
		f.silent[told[0].Process.Address] = true
		_, isKnown := f.exchanges[11].Find(ctx, stream)
		Expect(isKnown).To(BeTrue())
	})

	It("reports an origin that no daemon has as not known", func(ctx SpecContext) {
		_, isKnown := newFleet(12, 4).exchanges[0].Find(ctx, StreamOf("a"))
		Expect(isKnown).To(BeFalse())
	})

	It("returns from Record at once while no daemon answers, and tells a limited number at a time", func() {
		f := newFleet(4, 2)
		for address := range f.byAddress {
			f.silent[address] = true
		}
		for number := range 2 * maxTelling {
			f.exchanges[0].Record(StreamOf(fmt.Sprint(number)), began, keep)
		}
		Expect(f.exchanges[0].telling.Load()).To(BeNumerically("<=", maxTelling))
		f.exchanges[0].awaitTold()
	})
})

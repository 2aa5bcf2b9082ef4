package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/load"
)

// streamOutcome returns the outcome of a streamed answer of seven events.
func streamOutcome(perEvent time.Duration) Outcome {
	return Outcome{TimeToFirstByte: perEvent, EventInterval: perEvent, EventsAfterFirst: 6, Load: 1, Slots: 4}
}

// reportedWork returns the work of an instance as reported by other daemons.
func reportedWork(answers int, perEvent time.Duration) load.Work {
	const events = 6
	return load.Work{
		ChunkHundredths: fixedPointScale * events * answers, AnswerHundredths: fixedPointScale * answers, Millis: events * answers * int(perEvent.Milliseconds()),
	}
}

func findInstance(fleet *Fleet, id string) *Instance {
	GinkgoHelper()
	for _, instance := range fleet.Instances("s") {
		if instance.ID == id {
			return instance
		}
	}
	Fail("no instance " + id)
	return nil
}

func speedRatioAt(fleet *Fleet, id string, now time.Time) float64 {
	GinkgoHelper()
	baseline := computeSpeedBaseline(fleet.Instances("s"), &PlacementRequest{Now: now})
	return baseline.speedRatio(findInstance(fleet, id), now)
}

// TestDaemonsAgreeOnSpeeds checks that all daemons compute the same speeds from the same
// reports, whatever each of them observed itself.
func TestDaemonsAgreeOnSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleets := []*Fleet{}
		all, parts := load.EngineWork{}, []load.EngineWork{}
		for range rapid.IntRange(2, 5).Draw(t, "daemons") {
			fleet, _ := newTestFleet("a", "b", "c")
			for _, instance := range fleet.Instances("s") {
				for range rapid.IntRange(0, 9).Draw(t, "answers") {
					instance.RecordOutcome(streamOutcome(time.Duration(rapid.IntRange(5, 200).Draw(t, "ms"))*time.Millisecond), start)
				}
			}
			fleets, parts = append(fleets, fleet), append(parts, fleet.ObservedWork())
			for key, work := range fleet.ObservedWork() {
				all[key] = all[key].Add(work)
			}
		}
		for number, fleet := range fleets {
			fleet.UpdateWork(all, parts[number])
		}
		for _, id := range []string{"a", "b", "c"} {
			first := speedRatioAt(fleets[0], id, start)
			for _, fleet := range fleets {
				if difference := speedRatioAt(fleet, id, start)/first - 1; difference > 0.01 || difference < -0.01 {
					t.Fatalf("%s has a speed of %v at one daemon and of %v at another", id, speedRatioAt(fleet, id, start), first)
				}
			}
		}
	})
}

var _ = Describe("Speeds", func() {
	// Guards against programs that leave their engine because of delays of the daemon's own machine.
	It("do not tell engines apart that answer faster than a daemon can measure", func() {
		fleet, _ := newTestFleet("a", "b")
		for range 10 {
			findInstance(fleet, "a").RecordOutcome(streamOutcome(time.Millisecond), start)
			findInstance(fleet, "b").RecordOutcome(streamOutcome(8*time.Millisecond), start)
		}
		Expect(speedRatioAt(fleet, "a", start)).To(Equal(1.0))
		Expect(speedRatioAt(fleet, "b", start)).To(Equal(1.0))
	})

	It("are updated from the first report of other daemons", func() {
		fleet, _ := newTestFleet("a", "b", "c")
		fleet.UpdateWork(load.EngineWork{
			load.DigestOf("a"): reportedWork(50, 200*time.Millisecond), load.DigestOf("b"): reportedWork(50, 50*time.Millisecond), load.DigestOf("c"): reportedWork(50, 50*time.Millisecond),
		}, nil)
		Expect(speedRatioAt(fleet, "a", start)).To(BeNumerically("<", 0.5))
		Expect(speedRatioAt(fleet, "b", start)).To(Equal(1.0))
		Expect(choose(fleet, start, nil).ID).NotTo(Equal("a"))
	})

	It("count this daemon's own observations once", func() {
		fleet, _ := newTestFleet("a")
		instance := findInstance(fleet, "a")
		instance.RecordOutcome(streamOutcome(40*time.Millisecond), start)
		own := fleet.ObservedWork()
		before := instance.speed.current(start)
		fleet.UpdateWork(own, own)
		Expect(instance.speed.current(start)).To(Equal(before))
	})

	It("decay at the same rate in all daemons and expire without new observations", func() {
		fleet, testClock := newTestFleet("a")
		instance := findInstance(fleet, "a")
		instance.RecordOutcome(streamOutcome(40*time.Millisecond), start)
		testClock.now = start.Add(speedHalfLife)
		Expect(fleet.ObservedWork()[load.DigestOf("a")].AnswerHundredths).To(Equal(fixedPointScale / 2))
		Expect(instance.speed.current(start.Add(speedTTL - 1)).answers).NotTo(BeZero())
		Expect(instance.speed.current(start.Add(speedTTL)).answers).To(BeZero())
	})

	DescribeTable("are not affected by", func(outcome Outcome) {
		fleet, _ := newTestFleet("a")
		findInstance(fleet, "a").RecordOutcome(outcome, start)
		Expect(fleet.ObservedWork()).To(BeEmpty())
	},
		Entry("a failure", Outcome{Failed: true, TimeToFirstByte: time.Second, EventInterval: time.Second}),
		Entry("an error response", Outcome{}),
		Entry("an answer that was queued", Outcome{TimeToFirstByte: time.Second, Load: 4, Slots: 4}),
	)

	It("do not drop when the batch is full", func() {
		idle, full := workFrom(streamOutcome(100*time.Millisecond)), streamOutcome(115*time.Millisecond)
		full.Load = 4
		Expect(workFrom(full).events / workFrom(full).seconds).To(BeNumerically("~", idle.events/idle.seconds, 0.05*idle.events/idle.seconds))
	})

	It("are reset when an instance restarts under the same ID", func() {
		fleet, _ := newTestFleet("b", "c")
		original := newDeclaration("a", 2)
		original.Born = 1000
		Expect(fleet.Apply(original)).To(Equal(EventJoined))
		previous := findInstance(fleet, "a")
		previous.BeginRequest()
		previous.RecordPrefix([]PromptPart{{Name: "p", Tokens: 1}})
		for range 50 {
			previous.RecordOutcome(streamOutcome(400*time.Millisecond), start)
			findInstance(fleet, "b").RecordOutcome(streamOutcome(40*time.Millisecond), start)
			findInstance(fleet, "c").RecordOutcome(streamOutcome(40*time.Millisecond), start)
		}
		reports := fleet.ObservedWork()
		Expect(speedRatioAt(fleet, "a", start)).To(BeNumerically("<", 0.5))

		restarted := original
		restarted.Version, restarted.Born = 3, 2000
		Expect(fleet.Apply(restarted)).To(Equal(EventJoined))
		fleet.UpdateWork(reports, nil) // reports about the previous start arrive for a while
		fleet.UpdateCounts(load.Counts{loadKeyOf(original): 3}, nil)
		started := findInstance(fleet, "a")
		Expect(started).NotTo(BeIdenticalTo(previous))
		Expect(speedRatioAt(fleet, "a", start)).To(Equal(1.0))
		Expect(started.Load(start)).To(BeZero())
		Expect(MissingTokens(started, &PlacementRequest{Prefix: []PromptPart{{Name: "p", Tokens: 1}}})).To(Equal(1))

		repeated := restarted
		repeated.Version = 4
		Expect(fleet.Apply(repeated)).To(Equal(EventNone))
		Expect(findInstance(fleet, "a")).To(BeIdenticalTo(started))
	})

	It("treat small differences as equal and keep large ones", func() {
		Expect(adjustSpeedRatio(1.3)).To(Equal(1.0))
		Expect(adjustSpeedRatio(0.75)).To(Equal(1.0))
		Expect(adjustSpeedRatio(0.3)).To(Equal(0.3))
		for speed := 0.1; speed < 2; speed *= 1.01 { // continuous and increasing
			Expect(adjustSpeedRatio(speed * 1.01)).To(BeNumerically(">=", adjustSpeedRatio(speed)))
			Expect(adjustSpeedRatio(speed * 1.01)).To(BeNumerically("<", 1.05*adjustSpeedRatio(speed)))
		}
	})

	It("keep programs away from slow instances while others have free slots, and less so as the fleet fills up", func() {
		slowChosen := func(loadEach int) int {
			fleet, _ := newTestFleet("a", "b", "c", "d")
			counts := load.Counts{}
			for _, instance := range fleet.Instances("s") {
				perEvent := 40 * time.Millisecond
				if instance.ID == "a" {
					perEvent *= 3
				}
				instance.speed.setOthers(reportedWork(50, perEvent), start)
				counts[instance.loadKey] = loadEach
			}
			fleet.UpdateCounts(counts, nil)
			chosen := 0
			for order := range uint64(200) {
				if choose(fleet, start, func(request *PlacementRequest) { request.Seed = order }).ID == "a" {
					chosen++
				}
			}
			return chosen
		}
		Expect(slowChosen(1)).To(BeZero())
		Expect(slowChosen(3)).To(And(BeNumerically(">", 10), BeNumerically("<", 45)))
		Expect(slowChosen(4)).To(BeNumerically(">", 30))
	})

	It("are exported as metrics", func() {
		fleet, _ := newTestFleet("a", "b", "c", "d")
		findInstance(fleet, "a").speed.setOthers(reportedWork(50, 40*time.Millisecond), start)
		findInstance(fleet, "b").speed.setOthers(reportedWork(50, 400*time.Millisecond), start)
		findInstance(fleet, "c").speed.setOthers(reportedWork(1, 400*time.Millisecond), start)
		registry := prometheus.NewRegistry()
		Expect(registry.Register(fleet.Collector())).To(Succeed())
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		values := map[string]float64{}
		for _, family := range families {
			values[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
		}
		Expect(values).To(Equal(map[string]float64{
			"thymeloft_engine_speeds_known": 2, "thymeloft_engine_speeds_slow": 1, "thymeloft_engine_speeds_hasty": 1,
		}))
	})

	It("assume the mean speed for an unknown instance", func() {
		fleet, _ := newTestFleet("a", "b", "c")
		findInstance(fleet, "a").speed.setOthers(reportedWork(50, 40*time.Millisecond), start)
		findInstance(fleet, "b").speed.setOthers(reportedWork(50, 400*time.Millisecond), start)
		Expect(speedRatioAt(fleet, "a", start)).To(Equal(1.0))
		Expect(speedRatioAt(fleet, "c", start)).To(And(BeNumerically(">", speedRatioAt(fleet, "b", start)), BeNumerically("<", 1)))
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{45, 3400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var ids []string
			for number := range count {
				ids = append(ids, fmt.Sprint("e", number))
			}
			fleet, _ := newTestFleet(ids...)
			for number, instance := range fleet.Instances("s") {
				for range 4 {
					instance.RecordOutcome(streamOutcome(time.Duration(40+number%4*20)*time.Millisecond), start)
				}
			}
			request := &PlacementRequest{Zone: "z", Affinity: "p", Now: start.Add(time.Second), Prefix: []PromptPart{{Name: "p", Tokens: 1000}}}
			b.ReportAllocs()
			for b.Loop() {
				Choose(fleet.Instances("s"), request)
			}
		})
	}
}

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

// streamed is an answer of seven events.
func streamed(perEvent time.Duration) Outcome {
	return Outcome{FirstByte: perEvent, PerEvent: perEvent, Further: 6, Load: 1, Slots: 4}
}

// told is the work of an instance as others saw it.
func told(answers int, perEvent time.Duration) load.Work {
	const further = 6
	return load.Work{
		Pieces: hundredth * further * answers, Answers: hundredth * answers, Taken: further * answers * int(perEvent.Milliseconds()),
	}
}

func instanceOf(fleet *Fleet, id string) *Instance {
	GinkgoHelper()
	for _, instance := range fleet.Of("s") {
		if instance.ID == id {
			return instance
		}
	}
	Fail("no instance " + id)
	return nil
}

func speedAt(fleet *Fleet, id string, now time.Time) float64 {
	GinkgoHelper()
	usual := referenceOf(fleet.Of("s"), &Request{Now: now})
	return usual.speedOf(instanceOf(fleet, id), now)
}

// TestSumsOfDaemons: whatever daemons see, the sums that any of them learns give the same
// speed at all of them.
func TestSumsOfDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleets := []*Fleet{}
		all, parts := load.Speeds{}, []load.Speeds{}
		for range rapid.IntRange(2, 5).Draw(t, "daemons") {
			fleet, _ := fleetOf("a", "b", "c")
			for _, instance := range fleet.Of("s") {
				for range rapid.IntRange(0, 9).Draw(t, "answers") {
					instance.Observe(streamed(time.Duration(rapid.IntRange(5, 200).Draw(t, "ms"))*time.Millisecond), start)
				}
			}
			fleets, parts = append(fleets, fleet), append(parts, fleet.Speeds())
			for key, work := range fleet.Speeds() {
				all[key] = all[key].Plus(work)
			}
		}
		for number, fleet := range fleets {
			fleet.LearnSpeeds(all, parts[number])
		}
		for _, id := range []string{"a", "b", "c"} {
			first := speedAt(fleets[0], id, start)
			for _, fleet := range fleets {
				if difference := speedAt(fleet, id, start)/first - 1; difference > 0.01 || difference < -0.01 {
					t.Fatalf("%s has a speed of %v at one daemon and of %v at another", id, speedAt(fleet, id, start), first)
				}
			}
		}
	})
}

var _ = Describe("Speeds", func() {
	It("are learnt from what others saw, with the first picture", func() {
		fleet, _ := fleetOf("a", "b", "c")
		fleet.LearnSpeeds(load.Speeds{
			load.KeyOf("a"): told(50, 200*time.Millisecond), load.KeyOf("b"): told(50, 50*time.Millisecond), load.KeyOf("c"): told(50, 50*time.Millisecond),
		}, nil)
		Expect(speedAt(fleet, "a", start)).To(BeNumerically("<", 0.5))
		Expect(speedAt(fleet, "b", start)).To(Equal(1.0))
		Expect(choose(fleet, start, nil).ID).NotTo(Equal("a"))
	})

	It("count what this daemon saw once", func() {
		fleet, _ := fleetOf("a")
		instance := instanceOf(fleet, "a")
		instance.Observe(streamed(40*time.Millisecond), start)
		own := fleet.Speeds()
		before := instance.speed.known(start)
		fleet.LearnSpeeds(own, own)
		Expect(instance.speed.known(start)).To(Equal(before))
	})

	It("lose weight at all daemons alike, and are forgotten when nothing is heard", func() {
		fleet, moved := fleetOf("a")
		instance := instanceOf(fleet, "a")
		instance.Observe(streamed(40*time.Millisecond), start)
		moved.now = start.Add(speedHalfLife)
		Expect(fleet.Speeds()[load.KeyOf("a")].Answers).To(Equal(hundredth / 2))
		Expect(instance.speed.known(start.Add(speedBelieved - 1)).answers).NotTo(BeZero())
		Expect(instance.speed.known(start.Add(speedBelieved)).answers).To(BeZero())
	})

	DescribeTable("learn nothing from", func(outcome Outcome) {
		fleet, _ := fleetOf("a")
		instanceOf(fleet, "a").Observe(outcome, start)
		Expect(fleet.Speeds()).To(BeEmpty())
	},
		Entry("a failure", Outcome{Failed: true, FirstByte: time.Second, PerEvent: time.Second}),
		Entry("an answer that is an error", Outcome{}),
		Entry("an answer that waited for a place", Outcome{FirstByte: time.Second, Load: 4, Slots: 4}),
	)

	It("do not fall with a batch that is full", func() {
		idle, full := workOf(streamed(100*time.Millisecond)), streamed(115*time.Millisecond)
		full.Load = 4
		Expect(workOf(full).pieces / workOf(full).seconds).To(BeNumerically("~", idle.pieces/idle.seconds, 0.05*idle.pieces/idle.seconds))
	})

	It("begin anew with an instance that started again under its name", func() {
		fleet, _ := fleetOf("b", "c")
		born := declared("a", 2)
		born.Born = 1000
		Expect(fleet.Apply(born)).To(Equal(EventJoined))
		former := instanceOf(fleet, "a")
		former.Begin()
		former.Remember([]PromptPart{{Name: "p", Tokens: 1}})
		for range 50 {
			former.Observe(streamed(400*time.Millisecond), start)
			instanceOf(fleet, "b").Observe(streamed(40*time.Millisecond), start)
			instanceOf(fleet, "c").Observe(streamed(40*time.Millisecond), start)
		}
		toldOf := fleet.Speeds()
		Expect(speedAt(fleet, "a", start)).To(BeNumerically("<", 0.5))

		again := born
		again.Version, again.Born = 3, 2000
		Expect(fleet.Apply(again)).To(Equal(EventJoined))
		fleet.LearnSpeeds(toldOf, nil) // others tell of the former start for a while
		fleet.Learn(load.Counts{digestOf(born): 3}, nil)
		started := instanceOf(fleet, "a")
		Expect(started).NotTo(BeIdenticalTo(former))
		Expect(speedAt(fleet, "a", start)).To(Equal(1.0))
		Expect(started.Load(start)).To(BeZero())
		Expect(Missing(started, &Request{Prefix: []PromptPart{{Name: "p", Tokens: 1}}})).To(Equal(1))

		repeated := again
		repeated.Version = 4
		Expect(fleet.Apply(repeated)).To(Equal(EventNone))
		Expect(instanceOf(fleet, "a")).To(BeIdenticalTo(started))
	})

	It("take an instance as slow as it is, and one that is nearly usual as usual", func() {
		Expect(distinctSpeed(1.3)).To(Equal(1.0))
		Expect(distinctSpeed(0.75)).To(Equal(1.0))
		Expect(distinctSpeed(0.3)).To(Equal(0.3))
		for speed := 0.1; speed < 2; speed *= 1.01 { // without a step, and never the other way
			Expect(distinctSpeed(speed * 1.01)).To(BeNumerically(">=", distinctSpeed(speed)))
			Expect(distinctSpeed(speed * 1.01)).To(BeNumerically("<", 1.05*distinctSpeed(speed)))
		}
	})

	It("keep all programs from slow instances while others have room, and fewer the fuller all are", func() {
		slowChosen := func(loadEach int) int {
			fleet, _ := fleetOf("a", "b", "c", "d")
			counts := load.Counts{}
			for _, instance := range fleet.Of("s") {
				perEvent := 40 * time.Millisecond
				if instance.ID == "a" {
					perEvent *= 3
				}
				instance.speed.learn(told(50, perEvent), start)
				counts[instance.digest] = loadEach
			}
			fleet.Learn(counts, nil)
			chosen := 0
			for order := range uint64(200) {
				if choose(fleet, start, func(request *Request) { request.Order = order }).ID == "a" {
					chosen++
				}
			}
			return chosen
		}
		Expect(slowChosen(1)).To(BeZero())
		Expect(slowChosen(3)).To(And(BeNumerically(">", 10), BeNumerically("<", 45)))
		Expect(slowChosen(4)).To(BeNumerically(">", 30))
	})

	It("are shown to operators", func() {
		fleet, _ := fleetOf("a", "b", "c", "d")
		instanceOf(fleet, "a").speed.learn(told(50, 40*time.Millisecond), start)
		instanceOf(fleet, "b").speed.learn(told(50, 400*time.Millisecond), start)
		instanceOf(fleet, "c").speed.learn(told(1, 400*time.Millisecond), start)
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

	It("hold an instance that nobody knows for one of the mean speed", func() {
		fleet, _ := fleetOf("a", "b", "c")
		instanceOf(fleet, "a").speed.learn(told(50, 40*time.Millisecond), start)
		instanceOf(fleet, "b").speed.learn(told(50, 400*time.Millisecond), start)
		Expect(speedAt(fleet, "a", start)).To(Equal(1.0))
		Expect(speedAt(fleet, "c", start)).To(And(BeNumerically(">", speedAt(fleet, "b", start)), BeNumerically("<", 1)))
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{45, 3400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var ids []string
			for number := range count {
				ids = append(ids, fmt.Sprint("e", number))
			}
			fleet, _ := fleetOf(ids...)
			for number, instance := range fleet.Of("s") {
				for range 4 {
					instance.Observe(streamed(time.Duration(40+number%4*20)*time.Millisecond), start)
				}
			}
			request := &Request{Zone: "z", Affinity: "p", Now: start.Add(time.Second), Prefix: []PromptPart{{Name: "p", Tokens: 1000}}}
			b.ReportAllocs()
			for b.Loop() {
				Choose(fleet.Of("s"), request)
			}
		})
	}
}

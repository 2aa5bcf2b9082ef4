package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/routetable"
)

// prefixReservation is a budget reservation that reports which engine has read the prompt.
type prefixReservation struct {
	budget.Settler
	engine string
	read   int
}

func (r prefixReservation) CachedPrefix() (string, int) { return r.engine, r.read }

var _ = Describe("recordCachedPrefix", func() {
	parts := []backend.PromptPart{{Name: "shared", Tokens: 12000}, {Name: "one", Tokens: 2000}, {Name: "two", Tokens: 900}}

	DescribeTable("makes placement choose the engine that has read the prompt for another daemon", func(engine string) {
		fleet := backend.NewFleet(time.Now)
		for _, id := range []string{"e1", "e2", "e3"} {
			fleet.Apply(backend.Declaration{ID: id, Service: "llm", Address: id + ":1", Slots: 24, Version: 1})
		}
		current := &execution{
			gateway:     &Gateway{Options: Options{Fleet: fleet}},
			service:     &routetable.Service{Name: "llm", Model: true},
			call:        Call{Program: "p", Prefix: parts},
			reservation: prefixReservation{engine: engine, read: 2},
		}
		current.recordCachedPrefix()
		chosen := backend.Choose(fleet.Instances("llm"), &backend.PlacementRequest{Affinity: "p", Prefix: parts, Now: time.Now()})
		Expect(chosen.ID).To(Equal(engine))
	}, Entry("the first", "e1"), Entry("the second", "e2"), Entry("the third", "e3"))

	It("ignores an unknown engine and a part count that exceeds the prompt's", func() {
		current := &execution{
			gateway:     &Gateway{Options: Options{Fleet: backend.NewFleet(time.Now)}},
			service:     &routetable.Service{Name: "llm"},
			call:        Call{Prefix: parts},
			reservation: prefixReservation{engine: "gone", read: 9},
		}
		Expect(current.recordCachedPrefix).NotTo(Panic())
	})
})

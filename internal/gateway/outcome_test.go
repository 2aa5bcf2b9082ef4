package gateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/backend"
)

var _ = Describe("outcome", func() {
	current := func() *execution {
		return &execution{
			timeToFirstByte: 30 * time.Millisecond, firstByteAt: time.Now().Add(-time.Second), events: eventReader{count: 5},
			placement: placement{load: 3, slots: 8},
		}
	}

	It("reports the engine's speed, and its known load at that time", func() {
		outcome := current().outcome(&startedReply{Reply: &backend.Reply{Status: http.StatusOK}})
		Expect(outcome.EventInterval).To(BeNumerically(">=", 250*time.Millisecond))
		outcome.EventInterval = 0
		Expect(outcome).To(Equal(backend.Outcome{TimeToFirstByte: 30 * time.Millisecond, EventsAfterFirst: 4, Load: 3, Slots: 8}))
	})

	It("reports no speed for an error answer, since the engine did not do the work", func() {
		Expect(current().outcome(&startedReply{Reply: &backend.Reply{Status: http.StatusInternalServerError}})).To(Equal(backend.Outcome{}))
	})
})

package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/routetable"
)

var _ = Describe("storePatience", func() {
	DescribeTable("leaves a refused caller time to come back, and ends before a reader of a stream leaves",
		func(deadline time.Duration, streaming bool, longest time.Duration) {
			waiting := &execution{
				arrived: time.Now(),
				call:    Call{Deadline: deadline},
				route:   &routetable.Route{Timeout: time.Hour, Streaming: streaming, Patience: 2 * time.Second},
			}
			Expect(waiting.storePatience()).To(BeNumerically("<=", longest))
			Expect(waiting.storePatience()).To(BeNumerically(">", longest/2))
		},
		Entry("the first attempt at a stream", 4*time.Second, true, 1750*time.Millisecond),
		Entry("a later attempt with less time", 2*time.Second, true, 900*time.Millisecond),
		Entry("a plain request", 4*time.Second, false, 1800*time.Millisecond),
	)
})

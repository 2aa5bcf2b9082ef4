package execution

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/quota"
)

func TestAdmissionLimitsRateToShardShare(t *testing.T) {
	expect := gomega.NewWithT(t)
	share := 0.25
	now := time.Unix(1000, 0)
	limited := newAdmission(func() float64 { return share })
	limited.limiter = quota.NewStandalone(quota.Settings{Window: rateWindow}, func() time.Time { return now })
	tenant := &configuration.Tenant{Name: "tenant", RequestsPerSecond: 40, Burst: 40}
	admitted := func() int {
		count := 0
		for {
			wait, ok := limited.admit(tenant)
			if !ok {
				expect.Expect(wait).To(gomega.BeNumerically(">", 0))
				return count
			}
			count++
		}
	}
	expect.Expect(admitted()).To(gomega.Equal(10))
	share = 1
	expect.Expect(admitted()).To(gomega.Equal(30), "the whole burst minus the requests already admitted")
	now = now.Add(rateWindow + rateWindow/10)
	expect.Expect(admitted()).To(gomega.Equal(40), "the rate has refilled the whole burst")
}

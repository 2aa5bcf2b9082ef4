package execution

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestCacheHitRatioDropsAfterEvictionAndRecovers(t *testing.T) {
	expect := gomega.NewWithT(t)
	estimator, now := newCacheHitEstimator(), time.Unix(0, 0)
	expect.Expect(estimator.hitRatio("engine", now)).To(gomega.Equal(1.0))
	estimator.record("engine", 0, 0, now)
	estimator.record("engine", 1000, 1000, now)
	expect.Expect(estimator.hitRatio("engine", now)).To(gomega.Equal(1.0))
	for range 20 {
		estimator.record("engine", 1000, 0, now)
	}
	expect.Expect(estimator.hitRatio("engine", now)).To(gomega.BeNumerically("<", 0.01))
	expect.Expect(estimator.hitRatio("other", now)).To(gomega.Equal(1.0))
	expect.Expect(estimator.hitRatio("engine", now.Add(hitRatioHalfLife))).To(gomega.BeNumerically("~", 0.5, 0.01))
	estimator.record("engine", 1000, 2000, now)
	expect.Expect(estimator.hitRatio("engine", now)).To(gomega.BeNumerically("~", hitRatioSmoothing, 0.01), "a surplus of cached tokens counts as the whole prefix")
}

package execution

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestCacheTrustDropsAfterEvictionAndRecovers(t *testing.T) {
	expect := gomega.NewWithT(t)
	learnt, now := newCacheTrust(), time.Unix(0, 0)
	expect.Expect(learnt.share("engine", now)).To(gomega.Equal(1.0))
	learnt.record("engine", 0, 0, now)
	learnt.record("engine", 1000, 1000, now)
	expect.Expect(learnt.share("engine", now)).To(gomega.Equal(1.0))
	for range 20 {
		learnt.record("engine", 1000, 0, now)
	}
	expect.Expect(learnt.share("engine", now)).To(gomega.BeNumerically("<", 0.01))
	expect.Expect(learnt.share("other", now)).To(gomega.Equal(1.0))
	expect.Expect(learnt.share("engine", now.Add(trustHalfLife))).To(gomega.BeNumerically("~", 0.5, 0.01))
	learnt.record("engine", 1000, 2000, now)
	expect.Expect(learnt.share("engine", now)).To(gomega.BeNumerically("~", trustSmoothing, 0.01), "a surplus of cached tokens counts as the whole prefix")
}

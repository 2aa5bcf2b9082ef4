package mechanism_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

func TestMechanism(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mechanism")
}

var _ = Describe("Disabled", func() {
	It("is valid and empty if it is nil", func() {
		Expect(mechanism.Disabled(nil).Validate()).To(Succeed())
		Expect(mechanism.Disabled(nil).Has(mechanism.TurnLocations)).To(BeFalse())
	})

	It("rejects an unknown name with an error that lists the mechanisms", func() {
		off := mechanism.Disabled{mechanism.TurnLocations, "trials"}
		Expect(off.Has(mechanism.TurnLocations)).To(BeTrue())
		Expect(off.Validate()).To(MatchError(And(ContainSubstring(`"trials"`), ContainSubstring("load-board"))))
	})
})

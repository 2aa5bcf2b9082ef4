package backend

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The software version of an instance", func() {
	// Guards against requests that are placed by the version that an instance ran before.
	It("is that of the newest declaration, also under the same ID, address and start time", func() {
		fleet, _ := newTestFleet()
		declared := newDeclaration("a", 1)
		declared.SoftwareVersion = "v1"
		Expect(fleet.Apply(declared)).To(Equal(EventJoined))
		Expect(findInstance(fleet, "a").SoftwareVersion).To(Equal("v1"))
		declared.SoftwareVersion, declared.Version = "v2", 2
		Expect(fleet.Apply(declared)).To(Equal(EventJoined))
		Expect(findInstance(fleet, "a").SoftwareVersion).To(Equal("v2"))
		Expect(fleet.Instances("s")).To(HaveLen(1))
	})
})

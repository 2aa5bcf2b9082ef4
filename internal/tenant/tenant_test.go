package tenant_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

func TestTenant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenant")
}

var _ = Describe("Directory", func() {
	directory := tenant.NewDirectory([]tenant.Tenant{
		{Name: "one", Keys: []tenant.Digest{tenant.DigestOf("k1"), tenant.DigestOf("k2")}},
		{Name: "two", Keys: []tenant.Digest{tenant.DigestOf("k3")}},
	})

	DescribeTable("finds who holds a key", func(key, expected string) {
		found, known := directory.Find(tenant.DigestOf(key))
		Expect(known).To(Equal(expected != ""))
		if known {
			Expect(string(found.Name)).To(Equal(expected))
		}
	},
		Entry("the first key", "k1", "one"), Entry("the second", "k2", "one"), Entry("of another", "k3", "two"),
		Entry("unknown", "k4", ""), Entry("empty", "", ""), Entry("other case", "K1", ""),
	)

	It("demands keys once there are tenants", func() {
		Expect(directory.Demanded()).To(BeTrue())
		var none *tenant.Directory
		Expect(none.Demanded()).To(BeFalse())
		_, known := none.Find(tenant.DigestOf("k1"))
		Expect(known).To(BeFalse())
		Expect(tenant.NewDirectory(nil).Demanded()).To(BeFalse())
	})
})

var _ = Describe("Digest", func() {
	It("is read back from hexadecimal", func() {
		digest := tenant.DigestOf("k1")
		Expect(tenant.ParseDigest(digest.String())).To(Equal(digest))
	})

	DescribeTable("refuses other texts without repeating them", func(text string) {
		_, err := tenant.ParseDigest(text)
		Expect(err).To(HaveOccurred())
		if text != "" {
			Expect(err.Error()).NotTo(ContainSubstring(text))
		}
	},
		Entry("a key", "secret-key"), Entry("too short", strings.Repeat("a", 62)), Entry("capitals", strings.Repeat("AB", 32)), Entry("nothing", ""),
	)
})

var _ = Describe("Scope", func() {
	It("keeps the names of two tenants apart, and leaves names without a tenant alone", func() {
		Expect(tenant.Scope("one", "p")).NotTo(Equal(tenant.Scope("two", "p")))
		Expect(tenant.Scope("one", "p")).To(HaveSuffix(".p"))
		Expect(tenant.Scope("", "p")).To(Equal("p"))
		Expect(tenant.Scope("one", "")).To(BeEmpty())
	})
})

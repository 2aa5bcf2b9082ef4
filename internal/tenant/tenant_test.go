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
		{Name: "one", Keys: []tenant.Digest{tenant.HashKey("k1"), tenant.HashKey("k2")}},
		{Name: "two", Keys: []tenant.Digest{tenant.HashKey("k3")}},
	})

	DescribeTable("finds the tenant that owns a key", func(key, expected string) {
		found, known := directory.Find(tenant.HashKey(key))
		Expect(known).To(Equal(expected != ""))
		if known {
			Expect(string(found.Name)).To(Equal(expected))
		}
	},
		Entry("the first key of a tenant", "k1", "one"), Entry("the second key of a tenant", "k2", "one"), Entry("a key of another tenant", "k3", "two"),
		Entry("unknown", "k4", ""), Entry("empty", "", ""), Entry("a key in different case", "K1", ""),
	)

	It("requires keys if there are tenants", func() {
		Expect(directory.RequiresKey()).To(BeTrue())
		var none *tenant.Directory
		Expect(none.RequiresKey()).To(BeFalse())
		_, known := none.Find(tenant.HashKey("k1"))
		Expect(known).To(BeFalse())
		Expect(tenant.NewDirectory(nil).RequiresKey()).To(BeFalse())
	})
})

var _ = Describe("Digest", func() {
	It("can be parsed from its hexadecimal form", func() {
		digest := tenant.HashKey("k1")
		Expect(tenant.ParseDigest(digest.String())).To(Equal(digest))
	})

	DescribeTable("rejects other texts without repeating them in the error", func(text string) {
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
	It("distinguishes equal names of two tenants, and does not change names without a tenant", func() {
		Expect(tenant.Scope("one", "p")).NotTo(Equal(tenant.Scope("two", "p")))
		Expect(tenant.Scope("one", "p")).To(HaveSuffix(".p"))
		Expect(tenant.Scope("", "p")).To(Equal("p"))
		Expect(tenant.Scope("one", "")).To(BeEmpty())
	})
})

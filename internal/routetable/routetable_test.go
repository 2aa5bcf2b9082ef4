package routetable_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/routetable"
)

func TestRouteTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routetable")
}

func route(prefix string, parts ...routetable.WeightedService) *routetable.Route {
	return &routetable.Route{Name: prefix, Host: "a.example", Prefix: prefix, Services: parts}
}

func tableOf(revision uint64, routes ...*routetable.Route) *routetable.Table {
	return routetable.New(revision, routetable.Limits{}, routes, nil)
}

var _ = Describe("Table", func() {
	DescribeTable("finds the longest prefix of the host", func(host, path, expected string) {
		table := tableOf(1, route("/a/"), route("/a/b/"), route("/c/"))
		found, known := table.Find(host, path)
		if expected == "" {
			Expect(known).To(BeFalse())
			return
		}
		Expect(known).To(BeTrue())
		Expect(found.Name).To(Equal(expected))
	},
		Entry("longest", "a.example", "/a/b/x", "/a/b/"),
		Entry("shorter", "a.example", "/a/x", "/a/"),
		Entry("prefixes end with a slash", "a.example", "/ab", ""),
		Entry("a port and capitals", "A.Example:80", "/c/", "/c/"),
		Entry("another host", "b.example", "/a/x", ""),
	)
})

var _ = Describe("Holder", func() {
	It("does not replace a table with an older or equal revision", func() {
		var holder routetable.Holder
		Expect(holder.Replace(tableOf(5))).To(BeTrue())
		Expect(holder.Replace(tableOf(4))).To(BeFalse())
		Expect(holder.Replace(tableOf(5))).To(BeFalse())
		Expect(holder.Current().Revision).To(BeEquivalentTo(5))
	})

	// Guards against an answer by an old table that counts as confirmed by what confirmed a newer one.
	It("gives each table its own confirmation", func() {
		var holder routetable.Holder
		holder.Confirm(time.Now())
		holder.Replace(tableOf(1))
		_, confirmed := holder.View().Age()
		Expect(confirmed).To(BeFalse(), "what was confirmed before the first table says nothing of it")
		holder.Confirm(time.Now().Add(-time.Hour))
		old := holder.View()
		holder.Replace(tableOf(2))
		holder.Confirm(time.Now())
		age, _ := old.Age()
		Expect(old.Table.Revision).To(BeEquivalentTo(1))
		Expect(age).To(BeNumerically(">=", time.Hour))
	})

	It("keeps its confirmation when the table is replaced, or confirmed as of an earlier time", func() {
		var holder routetable.Holder
		holder.Replace(tableOf(1))
		holder.Confirm(time.Now().Add(-time.Hour))
		holder.Replace(tableOf(2))
		holder.Confirm(time.Now().Add(-2 * time.Hour))
		age, confirmed := holder.View().Age()
		Expect(confirmed).To(BeTrue())
		Expect(age).To(And(BeNumerically(">=", time.Hour), BeNumerically("<", 2*time.Hour)))
	})

	It("splits even a few requests by weight, also across revisions", func() {
		parts := []routetable.WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z", Weight: 0}}
		var holder routetable.Holder
		counts := map[string]int{}
		for revision := range uint64(10) {
			holder.Replace(tableOf(revision+1, route("/a/", parts...)))
			found, _ := holder.Current().Find("a.example", "/a/")
			for range 5 {
				counts[found.NextService()]++
			}
		}
		Expect(counts).To(Equal(map[string]int{"x": 45, "y": 5}))
	})
})

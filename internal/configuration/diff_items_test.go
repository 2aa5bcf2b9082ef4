package configuration_test

import (
	"reflect"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/configuration"
)

// withChangedField returns a copy of the items in which the field with the given index
// of the first item has another value.
func withChangedField[T any](items []T, field int) []T {
	result := slices.Clone(items)
	value := reflect.ValueOf(&result[0]).Elem().Field(field)
	switch value.Kind() {
	case reflect.String:
		value.SetString(value.String() + "x")
	case reflect.Int, reflect.Int64:
		value.SetInt(value.Int() + 1)
	case reflect.Uint64:
		value.SetUint(value.Uint() + 1)
	case reflect.Float64:
		value.SetFloat(value.Float() + 1)
	case reflect.Slice:
		value.Set(reflect.ValueOf([]string{"x"}))
	default:
		Fail("cannot change a field of kind " + value.Kind().String())
	}
	return result
}

// countFields returns the number of struct fields of the item type.
func countFields[T any](items []T) int { return reflect.TypeOf(items[0]).NumField() }

var _ = Describe("DiffItems", func() {
	It("reports a change of each field of each kind of item", func() {
		base := validDocument()
		check := func(field int, modified configuration.Document) {
			GinkgoHelper()
			changes := configuration.DiffItems(base, modified)
			Expect(changes).NotTo(BeEmpty(), "field %d", field)
			if len(changes) == 1 {
				Expect(changes[0].Fields).To(HaveLen(1), "field %d", field)
				Expect(changes[0].Fields[0].Name).NotTo(BeEmpty())
			}
		}
		for field := range countFields(base.Tenants) {
			modified := base
			modified.Tenants = withChangedField(base.Tenants, field)
			check(field, modified)
		}
		for field := range countFields(base.Models) {
			modified := base
			modified.Models = withChangedField(base.Models, field)
			check(field, modified)
		}
		for field := range countFields(base.Pools) {
			modified := base
			modified.Pools = withChangedField(base.Pools, field)
			check(field, modified)
		}
		for field := range countFields(base.Engines) {
			modified := base
			modified.Engines = withChangedField(base.Engines, field)
			check(field, modified)
		}
		for field := range countFields(base.Services) {
			modified := base
			modified.Services = withChangedField(base.Services, field)
			check(field, modified)
		}
	})

	It("reports added and removed items by kind and name", func() {
		modified := validDocument()
		modified.Drains = []string{"e1"}
		modified.Services = nil
		Expect(configuration.DiffItems(validDocument(), modified)).To(Equal([]configuration.ItemChange{
			{Kind: "service", Name: "factor-app", Action: configuration.ActionRemoved},
			{Kind: "drain", Name: "e1", Action: configuration.ActionAdded},
		}))
	})
})

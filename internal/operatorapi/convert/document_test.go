package convert_test

import (
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
)

// TestDifferenceRoundTrip checks that no field is lost when a difference is
// converted to its message and back. It sets the fields by reflection, so that
// fields added later are covered. It also checks that an unknown class is still
// invalid after the conversion.
func TestDifferenceRoundTrip(t *testing.T) {
	g := NewWithT(t)
	var difference configuration.Difference
	fill(reflect.ValueOf(&difference).Elem())
	difference.From, difference.To = 0, 0
	difference.Upserts.Tenants[0].Class = "batch"
	difference.Upserts.Pools[0].Role = "decode"
	difference.Upserts.Services[0].Kind = "tool"
	g.Expect(convert.DifferenceFromProto(convert.DifferenceToProto(&difference))).To(Equal(difference))

	difference.Upserts.Tenants[0].Class = "golden"
	received := convert.DifferenceFromProto(convert.DifferenceToProto(&difference))
	g.Expect(configuration.Validate(&received.Upserts)).To(ContainElement(ContainSubstring("class")))
}

// fill sets the value, or all fields of a struct, to something other than zero.
func fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fill(value.Field(i))
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0))
	case reflect.String:
		value.SetString("text")
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(90 * time.Second))
	case reflect.Uint64:
		value.SetUint(7)
	case reflect.Float64:
		value.SetFloat(2.5)
	default:
		panic(value.Kind())
	}
}

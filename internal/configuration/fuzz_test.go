package configuration_test

import (
	"testing"

	"github.com/thymeloft/thymeloft/internal/configuration"
)

// FuzzParseYAML checks that a valid document that was parsed from arbitrary YAML
// is unchanged after it is formatted and parsed again.
func FuzzParseYAML(f *testing.F) {
	written, err := configuration.FormatYAML(validDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(written)
	f.Add([]byte("tenants:\n- name: a\n  idle: 1h30m\n  requests_per_second: 2.5\n"))
	f.Add([]byte("models: &a\n- name: x\npools: *a\n"))
	f.Add([]byte("drains: [a, \"b\", 'c: d', \"\\u00e9\"]\n"))
	f.Add([]byte("models: []\n---\n{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := configuration.ParseYAML(data)
		if err != nil || len(configuration.Validate(&document)) > 0 {
			return
		}
		text, err := configuration.FormatYAML(document)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := configuration.ParseYAML(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		before, after := configuration.Normalize(&document), configuration.Normalize(&reparsed)
		if difference := configuration.ComputeDifference(&before, &after); difference.ItemCount() > 0 {
			t.Fatalf("%#v\n%#v\n%s", document, reparsed, text)
		}
	})
}

// FuzzApply checks that an arbitrary command that is rejected changes nothing, and
// that an accepted one leads to a valid document.
func FuzzApply(f *testing.F) {
	whole, err := configuration.EncodeChange(configuration.Change{Identifier: "a", Document: validDocument()})
	if err != nil {
		f.Fatal(err)
	}
	partial, err := configuration.EncodeChange(configuration.Change{Identifier: "b", Partial: &configuration.Difference{
		Upserts: validDocument(), Deletes: configuration.ItemNames{Drains: []string{"x"}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(partial)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, command []byte) {
		machine := configuration.NewMachine()
		before := machine.Current()
		result := machine.Apply(1, command).(*configuration.ChangeResult)
		if !result.Accepted && machine.Current() != before {
			t.Fatal("a rejected command changed the document")
		}
		if result.Accepted && len(configuration.Validate(&machine.Current().Document)) > 0 {
			t.Fatal("an invalid document was accepted")
		}
		if err := configuration.NewMachine().Restore(command); err == nil && len(command) == 0 {
			t.Fatal("Restore accepted empty data")
		}
	})
}

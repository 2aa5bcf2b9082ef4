package settings_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/settings"
)

const (
	referencePage  = "../../docs/operations/settings.md"
	referenceBegin = "<!-- begin of the reference, checked by a test -->\n"
	referenceEnd   = "<!-- end of the reference -->\n"
)

// referenceRows returns a Markdown table row for each setting in the struct value. The
// keys are the path of the struct in the settings file.
func referenceRows(value reflect.Value, keys []string) []string {
	var rows []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		path := append(append([]string{}, keys...), field.Tag.Get("yaml"))
		if field.Type.Kind() == reflect.Struct {
			rows = append(rows, referenceRows(value.Field(i), path)...)
			continue
		}
		flag := strings.ReplaceAll(strings.Join(path, "-"), "_", "-")
		rows = append(rows, fmt.Sprintf("| `%s` | `--%s` | %s | %s |\n",
			strings.Join(path, "."), flag, formatDefault(value.Field(i)), field.Tag.Get("help")))
	}
	return rows
}

func formatDefault(value reflect.Value) string {
	if duration, ok := value.Interface().(time.Duration); ok {
		return "`" + duration.String() + "`"
	}
	if value.IsZero() {
		return ""
	}
	return fmt.Sprintf("`%v`", value.Interface())
}

var _ = Describe("the operators' reference of settings", func() {
	It("lists every setting with its flag, default and meaning", func() {
		page, err := os.ReadFile(referencePage)
		Expect(err).NotTo(HaveOccurred())
		_, rest, found := strings.Cut(string(page), referenceBegin)
		Expect(found).To(BeTrue(), "the page has no marker for the start of the table")
		table, _, found := strings.Cut(rest, referenceEnd)
		Expect(found).To(BeTrue(), "the page has no marker for the end of the table")
		expected := "| key in the file | flag | default | meaning |\n| --- | --- | --- | --- |\n" +
			strings.Join(referenceRows(reflect.ValueOf(settings.Default()), nil), "")
		Expect(table).To(Equal(expected), "the table should be:\n"+expected)
	})

	It("contains only flags that exist", func() {
		var arguments []string
		for _, row := range referenceRows(reflect.ValueOf(settings.Default()), nil) {
			flag := strings.Trim(strings.Split(row, "|")[2], " `")
			arguments = append(arguments, flag, "1")
		}
		_, err := settings.Load(arguments, "v0", GinkgoWriter)
		Expect(err).NotTo(MatchError(ContainSubstring("unknown flag")))
	})
})

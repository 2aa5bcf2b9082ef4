package commandline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const jsonIndent = "  "

// printJSON prints a value as indented JSON.
func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.streams.Out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", jsonIndent)
	return encoder.Encode(value)
}

// printMessage prints a protobuf message as indented JSON. The JSON has the field
// names of the .proto file and includes empty fields.
func (s *session) printMessage(message proto.Message) error {
	encoded, err := messageJSON(message)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", jsonIndent); err != nil {
		return err
	}
	s.printf("%s\n", indented.String())
	return nil
}

// printMessageLine prints a protobuf message as one line of JSON.
func (s *session) printMessageLine(message proto.Message) error {
	encoded, err := messageJSON(message)
	if err != nil {
		return err
	}
	var line bytes.Buffer
	if err := json.Compact(&line, encoded); err != nil {
		return err
	}
	s.printf("%s\n", line.String())
	return nil
}

func messageJSON(message proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
}

// table writes rows with aligned columns. The first row is the heading. Empty
// cells are shown as "-".
type table struct {
	writer *tabwriter.Writer
}

func (s *session) newTable(heading ...any) *table {
	const padding = 2
	created := &table{writer: tabwriter.NewWriter(s.streams.Out, 0, 0, padding, ' ', 0)}
	created.addRow(heading...)
	return created
}

func (t *table) addRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// flush writes the table to the output; no rows may be added after it.
func (t *table) flush() error { return t.writer.Flush() }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// enumName returns the name of a protobuf enum value as it is shown to users, such
// as "alive" for MEMBER_STATE_ALIVE with the prefix "MEMBER_STATE_".
func enumName(value fmt.Stringer, prefix string) string {
	text := strings.TrimPrefix(value.String(), prefix)
	return strings.ReplaceAll(strings.ToLower(text), "_", "-")
}

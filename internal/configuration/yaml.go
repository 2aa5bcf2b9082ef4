package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// MaxYAMLBytes is the maximum size of the data that ParseYAML accepts.
const MaxYAMLBytes = 32 << 20

// ParseYAML parses a document. For unknown and duplicate fields and for values of the
// wrong type it returns an error with the line and column. Durations are written
// like "30s". ParseYAML does not validate the document; see Validate.
func ParseYAML(data []byte) (Document, error) {
	var document Document
	if len(data) > MaxYAMLBytes {
		return document, eris.Errorf("parse configuration: %d bytes exceed the limit of %d bytes", len(data), MaxYAMLBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.CustomUnmarshaler(parseDuration))
	err := decoder.Decode(&document)
	if err != nil && !errors.Is(err, io.EOF) {
		return Document{}, eris.Wrap(err, "parse configuration")
	}
	var next any
	if err == nil && !errors.Is(decoder.Decode(&next), io.EOF) {
		return Document{}, eris.New("parse configuration: the file holds more than one YAML document")
	}
	return document, nil
}

// FormatYAML formats a document as YAML that ParseYAML accepts.
func FormatYAML(document Document) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(document, yaml.CustomMarshaler(formatDuration))
	return data, eris.Wrap(err, "format configuration")
}

func parseDuration(target *time.Duration, data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration must be written like 30s: %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration must be written like 30s, not %q", text)
	}
	*target = parsed
	return nil
}

func formatDuration(duration time.Duration) ([]byte, error) {
	return []byte(duration.String()), nil
}

package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

const testRequestID = "program/1/1"

// follow reads the streams one after the other into one assembly, like a
// completion that is resumed.
func follow(streams ...string) (result *assembly, passedOn string) {
	result = &assembly{requestID: testRequestID, limit: 1 << 10}
	var pieces strings.Builder
	for _, stream := range streams {
		_ = readEvents(strings.NewReader(stream), 1<<9, func(chunk *enginev1.CompletionChunk) (bool, error) {
			added, err := result.add(chunk)
			pieces.WriteString(added)
			return result.isComplete(), err
		})
	}
	return result, pieces.String()
}

func encodeEvent(offset int, text, finish string, usage *enginev1.Usage) string {
	encoded, _ := json.Marshal(enginev1.CompletionChunk{
		ID: testRequestID, Offset: offset, Choices: []enginev1.Choice{{Delta: enginev1.Message{Content: text}, FinishReason: finish}}, Usage: usage,
	})
	return fmt.Sprintf("data: %s\n\n", encoded)
}

func FuzzReadEvents(f *testing.F) {
	f.Add(encodeEvent(0, "one ", "", nil), encodeEvent(4, "two", "stop", &enginev1.Usage{CompletionTokens: 2}))
	f.Add("data: {\"id\":\""+testRequestID+"\",\"offset\":-1}\n", ": comment\r\ndata: [DONE]\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		result, passedOn := follow(first, second)
		if result.content.String() != passedOn || len(passedOn) > 1<<10 {
			t.Fatalf("retained %q, passed on %q", result.content.String(), passedOn)
		}
	})
}

// The text passed on must be a prefix of the content, and the whole content if the
// assembly is complete, however streams are split, interrupted and resumed.
func TestResumedStreamsReassembleContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.StringMatching(`[a-z ]{1,60}`).Draw(t, "content")
		var streams []string
		for range rapid.IntRange(1, 6).Draw(t, "streams") {
			var stream strings.Builder
			offset := rapid.IntRange(0, len(content)).Draw(t, "from")
			for offset < len(content) && rapid.IntRange(0, 9).Draw(t, "another chunk") > 0 {
				size := rapid.IntRange(1, len(content)-offset).Draw(t, "size")
				stream.WriteString(encodeEvent(offset, content[offset:offset+size], "", nil))
				offset += size
			}
			if offset == len(content) {
				stream.WriteString(encodeEvent(offset, "", "stop", &enginev1.Usage{}))
			}
			streams = append(streams, stream.String())
		}
		result, passedOn := follow(streams...)
		if !strings.HasPrefix(content, passedOn) {
			t.Fatalf("passed on %q, which is not a prefix of %q", passedOn, content)
		}
		if result.isComplete() && passedOn != content {
			t.Fatalf("complete with %q, but the content is %q", passedOn, content)
		}
	})
}

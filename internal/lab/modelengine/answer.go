package modelengine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

const (
	bytesPerToken    = 4
	minAnswerTokens  = 8
	answerTokenRange = 24    // default lengths are from minAnswerTokens to minAnswerTokens+23
	tokenMask        = 0xfff // three hexadecimal digits; a token is these and a space
)

// answerLengthPattern matches the text in the last message that sets the length
// of the answer in tokens.
var answerLengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// Answer returns the whole text and the finish reason that every engine
// generates for the prompt. The text depends on the arguments alone and has at
// most limit tokens of four bytes each. The finish reason is "length" if the
// limit cut the text off, otherwise "stop".
func Answer(model, adapter string, messages []enginev1.Message, limit int64) (content, finishReason string) {
	seed := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + renderPrompt(messages))
	length := answerLength(seed, messages)
	finishReason = "stop"
	if length > limit {
		length = limit
		finishReason = "length"
	}
	var text strings.Builder
	for index := range length {
		text.WriteString(token(seed, index))
	}
	return text.String(), finishReason
}

func answerLength(seed uint64, messages []enginev1.Message) int64 {
	if len(messages) > 0 {
		match := answerLengthPattern.FindStringSubmatch(messages[len(messages)-1].Content)
		if match != nil {
			length, _ := strconv.ParseInt(match[1], 10, 32)
			return length
		}
	}
	return minAnswerTokens + int64(seed%answerTokenRange)
}

// token returns the text of the generated token with this index.
func token(seed uint64, index int64) string {
	var buffer [16]byte
	text := strconv.AppendUint(buffer[:0], seed, 16)
	text = strconv.AppendInt(append(text, ' '), index, 10)
	return fmt.Sprintf("%03x ", xxhash.Sum64(text)&tokenMask)
}

// renderPrompt returns the messages as one text. Prompts that begin with the
// same messages have texts that begin with the same bytes.
func renderPrompt(messages []enginev1.Message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteByte(1)
		text.WriteString(message.Content)
		text.WriteByte(2)
	}
	return text.String()
}

// countTokens returns the length of a text in tokens, rounded up.
func countTokens(text string) int64 {
	return int64((len(text) + bytesPerToken - 1) / bytesPerToken)
}

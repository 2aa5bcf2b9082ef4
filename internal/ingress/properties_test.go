package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// request is one that a client sends, and what echo answers to it.
type request struct{ text, answer string }

// drawRequest draws a request whose path is the number.
func drawRequest(t *rapid.T, number int) request {
	fields := rapid.IntRange(0, 300).Draw(t, "fields")
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\n", number)
	for field := range fields {
		fmt.Fprintf(&text, "f%d:%s\r\n", field, strings.Repeat("v", rapid.IntRange(0, 30).Draw(t, "value")))
	}
	length := rapid.SampledFrom([]int{0, 1, 10, 5000, 100_000}).Draw(t, "length")
	body := strings.Repeat("\r\n\r\nx", length/5+1)[:length]
	if rapid.Bool().Draw(t, "chunked") {
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		chunk := rapid.SampledFrom([]int{1, 7, 4096}).Draw(t, "chunk")
		for start := 0; start < length; start += chunk {
			piece := body[start:min(start+chunk, length)]
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(piece), piece)
		}
		text.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", length)
		text.WriteString(body)
		fields++
	}
	return request{text: text.String(), answer: fmt.Sprintf("/%d %d %d", number, fields, length)}
}

// TestRequestsArriveUnchanged checks that requests which are sent ahead, in pieces of any size, reach
// the handler as they were sent, and that nothing is reserved at the end.
func TestRequestsArriveUnchanged(t *testing.T) {
	account := memory.NewAccount(1 << 30)
	limiter, address, stop := serve(NewGroup(account, zap.NewNop()), LimiterOptions{Name: "test"}, echo)
	defer stop()
	rapid.Check(t, func(t *rapid.T) {
		var sent strings.Builder
		var expected []string
		for number := range rapid.IntRange(1, 6).Draw(t, "requests") {
			drawn := drawRequest(t, number)
			sent.WriteString(drawn.text)
			expected = append(expected, drawn.answer)
		}
		connection, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		pieces := drawPieces(t, sent.String())
		go func() {
			for _, piece := range pieces {
				if _, err := io.WriteString(connection, piece); err != nil {
					return
				}
			}
		}()
		reader := bufio.NewReader(connection)
		for _, answer := range expected {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("instead of %q: %v", answer, err)
			}
			content, err := io.ReadAll(response.Body)
			if err != nil || string(content) != answer {
				t.Fatalf("instead of %q: %q, %v", answer, content, err)
			}
		}
	})
	g := NewWithT(t)
	g.Eventually(limiter.Open).Should(BeZero())
	g.Eventually(account.Held).Should(BeZero())
}

// drawPieces cuts a text into pieces: a few small ones at any place, and the rest.
func drawPieces(t *rapid.T, text string) (pieces []string) {
	for range rapid.IntRange(0, 20).Draw(t, "pieces") {
		length := min(rapid.SampledFrom([]int{1, 2, 3, 17, 500, 4096, 9000}).Draw(t, "piece"), len(text))
		pieces, text = append(pieces, text[:length]), text[length:]
	}
	return append(pieces, text)
}

// TestScannerFindsTheEndOfAHeader checks that the end is found wherever the bytes are cut.
func TestScannerFindsTheEndOfAHeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"})
		var header strings.Builder
		fields := rapid.IntRange(1, 50).Draw(t, "fields")
		for range fields {
			header.WriteString(rapid.StringMatching(`[a-z :\r]{0,8}[a-z]`).Draw(t, "field") + lineEnd.Draw(t, "end"))
		}
		header.WriteString(lineEnd.Draw(t, "last"))
		following := rapid.SampledFrom([]string{"", "x", "\r\n\r\n"}).Draw(t, "following")
		var scanner headerScanner
		position, end := 0, -1
		for text := header.String() + following; text != "" && end < 0; {
			length := rapid.IntRange(1, len(text)).Draw(t, "length")
			if found := scanner.scan([]byte(text[:length])); found >= 0 {
				end = position + found
			}
			position, text = position+length, text[length:]
		}
		if end != header.Len() || scanner.end != header.Len() || scanner.fields != fields {
			t.Fatalf("found %d and %d fields, expected %d and %d in %q", end, scanner.fields, header.Len(), fields, header.String())
		}
	})
}

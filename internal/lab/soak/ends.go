package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/thymeloft/thymeloft/internal/answer"
)

// claim is what the bytes that a caller received say about the end of the answer.
type claim string

const (
	claimBroken claim = ""                          // the connection failed, or ended before the end
	claimWhole  claim = "whole"                     // a length or chunks show the end
	claimEnded  claim = "ended with its connection" // neither is there, and the connection was closed
)

// claimOf returns the claim of an answer whose body was read until err. endsWithinPart means that the end
// lies within an event or a line. A length or chunks claim an answer to be whole wherever it ends.
func claimOf(response *http.Response, err error, endsWithinPart bool) claim {
	switch {
	case err != nil:
		return claimBroken
	case answer.FramingOf(response.Request.Method, response) != answer.FramingConnection:
		return claimWhole
	case endsWithinPart:
		return claimBroken
	default:
		return claimEnded
	}
}

// readEvents reads a stream to its end and returns the data of its complete lines, with a line feed after
// each.
func readEvents(body io.Reader) (content string, end endOfStream) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if data, found := strings.CutPrefix(line, "data: "); found && strings.HasSuffix(line, "\n") {
			content += data
			end.events++
		}
		if err != nil {
			end.withinPart = end.withinPart || line != ""
			if err != io.EOF {
				end.err = err
			}
			return content, end
		}
		end.withinPart = line != "\n"
		if !end.withinPart {
			end.whole = received{end.events, len(content)}
		}
	}
}

// received is a part of a stream.
type received struct{ events, bytes int }

// endOfStream is how a stream ended.
type endOfStream struct {
	events     int      // complete data lines
	whole      received // up to the end of the last event, with its empty line
	withinPart bool     // the end lies within an event or a line
	err        error    // that ended the stream; nil: its end
}

// hasExpectedContent reports whether the caller received the content of a whole answer.
func (a *attempt) hasExpectedContent() bool {
	content := a.content
	if a.kind.mayBeTakenUp() {
		content = a.withoutVersions()
	}
	return content == a.expectedContent()
}

// checkEnd checks that an answer claims no more about its end than the instance's: if it is not whole,
// it is broken off for its caller, unless the instance itself has closed the connection after this
// content of an answer without a length or chunks. An earlier build did not keep this.
func (e *evidence) checkEnd(a *attempt) []string {
	if a.status != http.StatusOK || a.claim == claimBroken || a.toPreviousBuild || a.hasExpectedContent() {
		return nil
	}
	for _, sent := range e.deliveries[a.id] {
		if a.claim == claimEnded && !sent.reset && sent.content == a.content {
			return nil
		}
	}
	return []string{fmt.Sprintf("ends: %s (%s, %s) got %q, which is not whole, but is %s; the instances sent %+v", a.id, a.kind, a.protocol, a.content, a.claim, e.deliveries[a.id])}
}

// checkWholeArrives checks that an answer which an instance has sent whole, without a length or chunks,
// is whole for its caller, unless a fault was active.
func (e *evidence) checkWholeArrives(a *attempt) []string {
	sent := e.deliveries[a.id]
	if a.status != http.StatusOK || a.complete || a.toPreviousBuild || len(e.executions[a.id]) != 1 || len(sent) != 1 || !sent[0].whole {
		return nil
	}
	if !e.calm.isCalmThroughout(a.sent.Add(-contactTimeout), a.ended) {
		return nil
	}
	return []string{fmt.Sprintf("ends: %s (%s, %s) got %q (%s), but its instance sent the whole answer: %v", a.id, a.kind, a.protocol, a.content, a.claim, a.err)}
}

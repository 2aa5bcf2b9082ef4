package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

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

// delivery is an answer that an instance has sent without a length or chunks.
type delivery struct {
	content string // of the events, or the body
	whole   bool
	reset   bool // ended by a reset of the connection, and not by closing it
}

// Shares of the answers of instances.
const (
	unframedShare    = 0.25 // of all answers: they have neither a length nor chunks
	cutUnframedShare = 0.2  // of those: cut after any byte, also without a fault
)

// sendUnframed sends an answer that has neither a length nor chunks, and closes the connection. The share
// is cut after any of its bytes, by closing or by resetting the connection. There is a pause before each
// part but the first.
func (i *instance) sendUnframed(writer http.ResponseWriter, id, contentType string, parts []string, cutShare float64) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Type: %s\r\n\r\n", id, i.id, contentType)
	left := len(head) + len(strings.Join(parts, ""))
	isCut := rand.Float64() < cutShare
	if isCut {
		left = rand.IntN(left)
	}
	sent := delivery{whole: !isCut, reset: isCut && rand.IntN(2) == 0}
	body := ""
	for index, part := range append([]string{head}, parts...) {
		if index > 1 {
			time.Sleep(eventInterval)
		}
		part = part[:min(left, len(part))]
		left -= len(part)
		if _, err := io.WriteString(connection, part); err != nil {
			return
		}
		if index > 0 {
			body += part
		}
	}
	sent.content = body
	if contentType == mediaTypeEvents {
		sent.content, _ = readEvents(strings.NewReader(body))
	}
	i.owner.evidence.recordDelivery(id, sent)
	if tcp, ok := connection.(*net.TCPConn); ok && sent.reset {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

const mediaTypeEvents = "text/event-stream"

// eventText is the text of an event in a stream.
func eventText(index int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", index+1, data)
}

// eventTexts returns the texts of the events from an index on, with a suffix after the data of each.
func eventTexts(events []string, from int, suffix string) (texts []string) {
	for index := from; index < len(events); index++ {
		texts = append(texts, eventText(index, events[index]+suffix))
	}
	return texts
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
	}
}

// endOfStream is how a stream ended.
type endOfStream struct {
	events     int   // complete data lines
	withinPart bool  // the end lies within an event or a line
	err        error // that ended the stream; nil: its end
}

// http10Transport sends each request with HTTP/1.0 over a connection of its own.
type http10Transport struct{}

// RoundTrip implements http.RoundTripper.
func (http10Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	connection, err := (&net.Dialer{}).DialContext(request.Context(), "tcp", request.URL.Host)
	if err != nil {
		return nil, err
	}
	if deadline, hasDeadline := request.Context().Deadline(); hasDeadline {
		_ = connection.SetDeadline(deadline) // fails only if the connection is closed already
	}
	response, err := exchangeHTTP10(connection, request)
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	response.Body = connectionBody{ReadCloser: response.Body, connection: connection}
	return response, nil
}

func exchangeHTTP10(connection net.Conn, request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", request.Method, request.URL.RequestURI(), request.Host, len(body))
	_ = request.Header.Write(&text)
	text.WriteString("\r\n" + string(body))
	if _, err := io.WriteString(connection, text.String()); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(connection), request)
}

// connectionBody is the body of an answer that ends with its connection.
type connectionBody struct {
	io.ReadCloser
	connection net.Conn
}

// Close implements io.Closer.
func (b connectionBody) Close() error { return b.connection.Close() }

// hasExpectedContent reports whether the caller received the content of a whole answer.
func (a *attempt) hasExpectedContent() bool {
	content := a.content
	if a.kind == kindResumable {
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

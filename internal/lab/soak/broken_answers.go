package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Shares of broken answers.
const (
	malformedShare = 0.01 // of all answers but those on routes whose streams are taken up: the head is none
	earlyShare     = 0.5  // of the answers to large requests: sent and reset before the request is read
)

// largeBodyBytes is the smallest body of a large request, in bytes. It does not fit the socket buffers of an
// instance that does not read.
const largeBodyBytes = 256 << 10

// largeInput returns the input of a large request.
func largeInput(input string) string { return input + strings.Repeat(".", largeBodyBytes) }

// answersEarly reports whether the instance has answered a large request before it read it: with an answer
// that nothing frames, after a part of which the connection was reset.
func (i *instance) answersEarly(writer http.ResponseWriter, request *http.Request, id string) bool {
	if request.ContentLength < largeBodyBytes || request.URL.Path == healthPath || rand.Float64() >= earlyShare {
		return false
	}
	i.owner.evidence.recordExecution(id, execution{service: i.service, instance: i.id, version: i.version, path: request.URL.Path, isUnread: true, startedAt: time.Now()})
	answer := expectedAnswer(kindUnsafe, id)
	part := answer[:rand.IntN(len(answer))]
	i.owner.evidence.recordDelivery(id, delivery{content: part, reset: true})
	i.sendRaw(writer, i.signedHead("HTTP/1.1 200 OK", id)+"\r\n"+part, true)
	return true
}

// sendsMalformed reports whether the instance has answered with a head that is none.
func (i *instance) sendsMalformed(writer http.ResponseWriter, id, body string) bool {
	if rand.Float64() >= malformedShare {
		return false
	}
	heads := []string{
		i.signedHead("HTTP/1.1 000 OK", id),
		i.signedHead("HTTP/1.1 999 OK", id),
		i.signedHead("HTTP/1.1 200 OK", id) + "A B: c\r\n",
		i.signedHead("HTTP/1.1 200 OK", id) + fmt.Sprintf("Content-Length : %d\r\n", len(body)),
		i.signedHead("HTTP/1.1 200 OK", id) + "Transfer-Encoding : chunked\r\n",
	}
	i.owner.evidence.recordMalformed(id)
	i.sendRaw(writer, heads[rand.IntN(len(heads))]+"\r\n"+body, false)
	return true
}

// signedHead returns the first lines of a head, which show that the answer is the instance's own.
func (i *instance) signedHead(statusLine, id string) string {
	return fmt.Sprintf("%s\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\n", statusLine, id, i.id)
}

// sendRaw sends the text as it is, and closes or resets the connection.
func (i *instance) sendRaw(writer http.ResponseWriter, text string, resets bool) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, text) // fails if the gateway has closed the connection
	if tcp, ok := connection.(*net.TCPConn); ok && resets {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

// checkMalformed checks an attempt all of whose runs were answered with a head that is none: its caller does
// not get such an answer, and in calm times it gets one of the gateway. An earlier build did not keep this.
func (e *evidence) checkMalformed(a *attempt) []string {
	count := e.malformed[a.id]
	if count == 0 || count < len(e.executions[a.id]) || a.toPreviousBuild {
		return nil
	}
	if a.status/100 == 2 || a.status > 599 {
		return []string{fmt.Sprintf("heads: %s (%s) got status %d, but every head that instances sent was malformed", a.id, a.kind, a.status)}
	}
	if a.status == 0 && e.calm.isCalmThroughout(a.sent.Add(-contactTimeout), a.ended) {
		return []string{fmt.Sprintf("heads: %s (%s) got no answer after a malformed head: %v", a.id, a.kind, a.err)}
	}
	return nil
}

package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/answer"
)

// OutgoingRequest is a request to send to an instance.
type OutgoingRequest struct {
	Method string
	Target string // path and query, exactly as the caller sent them
	Host   string
	Header http.Header
	Body   [][]byte // chunks, written in this order
	// MatchesResponse reports whether a response with this header answers this request.
	MatchesResponse func(header http.Header) bool
	// Sent are the connections on which the request was sent before, to which Exchange adds its own. It must
	// be set if the request may be sent more than once.
	Sent *SentConnections
	// ReceivedSince, if set, excludes open connections that have received nothing since then.
	ReceivedSince time.Time
}

// Reply is an instance's response. The caller must read Body to the end, or close or drain it.
type Reply struct {
	Status  int
	Header  http.Header
	Length  int64 // length of the body in bytes; -1 if unknown
	Framing answer.Framing
	Body    io.ReadCloser

	body *body // the same as Body
}

// Limits of Drain.
const (
	maxDrainedBytes = 64 << 10
	maxDrainTime    = 100 * time.Millisecond
)

// Drain reads the rest of the body, so that its connection can be used again. If the body does not end soon,
// Drain closes the connection.
func (r *Reply) Drain() {
	r.body.limitTime(maxDrainTime)
	_, _ = io.CopyN(io.Discard, r.Body, maxDrainedBytes) // whatever it returns, the body is ended next
	_ = r.Body.Close()                                   // does nothing if the body was read to its end
}

// NotSentError means that no byte of the request was sent.
type NotSentError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError means that no usable response was received although the request may have been
// executed.
type LostError struct {
	Peer string
	Op   string
	Err  error
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("%s with %s: %v", e.Op, e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e *LostError) Unwrap() error { return e.Err }

// Exchange sends the request to the instance and returns the response once its head is read. It
// never sends a request twice. When the context ends, even while the body is read, the
// connection is closed so that the instance can stop its work. The error is a *NotSentError or a
// *LostError.
func (i *Instance) Exchange(ctx context.Context, outgoing *OutgoingRequest) (*Reply, error) {
	conn, err := i.pool.get(ctx, outgoing.Sent, outgoing.ReceivedSince)
	if err != nil {
		return nil, &NotSentError{Peer: i.Address, Err: err}
	}
	outgoing.Sent.add(conn)
	current := &exchange{instance: i, connection: conn, writeResult: make(chan error, 1)}
	current.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	sent := time.Now()
	reply, err := current.run(outgoing)
	if err != nil {
		current.abandon()
		if ctx.Err() != nil && conn.isSilentSince(sent) {
			i.pool.closeIdleBefore(sent)
		}
		return nil, err
	}
	return reply, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	instance        *Instance
	connection      *connection
	writeResult     chan error // receives the writer's error or nil, once
	stop            func() bool
	reusable        bool
	finished        bool
	responseStarted atomic.Bool // whether the response head was read
}

// maxInlineWriteBytes is the largest body that is written without a goroutine. It fits the
// socket buffers. A larger body is written in a goroutine, since an instance may respond before
// it has read all of it.
const maxInlineWriteBytes = 16 << 10

func (e *exchange) run(outgoing *OutgoingRequest) (*Reply, error) {
	request, bodyBytes := buildRequest(outgoing)
	e.connection.BeginRequest()
	if bodyBytes <= maxInlineWriteBytes {
		e.write(request)
	} else {
		go e.write(request)
	}
	reply, err := e.readResponse(request, outgoing)
	if err != nil {
		return nil, &LostError{Peer: e.instance.Address, Op: "read answer", Err: e.closeWithCause(err)}
	}
	return reply, nil
}

// newReply returns the reply for a response whose head was read.
func (e *exchange) newReply(method string, response *http.Response) *Reply {
	e.responseStarted.Store(true)
	e.reusable = !response.Close && response.ProtoAtLeast(1, 1)
	e.connection.idleTimeout = parseIdleTimeout(response.Header)
	relayed := &body{exchange: e, inner: response.Body}
	return &Reply{
		Status:  response.StatusCode,
		Header:  response.Header,
		Length:  response.ContentLength,
		Framing: answer.FramingOf(method, response),
		Body:    relayed,
		body:    relayed,
	}
}

// buildRequest returns the HTTP request and the length of its body. The target is sent
// unchanged.
func buildRequest(outgoing *OutgoingRequest) (*http.Request, int64) {
	bodyBytes := int64(0)
	readers := make([]io.Reader, 0, len(outgoing.Body))
	for _, chunk := range outgoing.Body {
		bodyBytes += int64(len(chunk))
		readers = append(readers, bytes.NewReader(chunk))
	}
	request := &http.Request{
		Method:        outgoing.Method,
		URL:           &url.URL{Opaque: outgoing.Target},
		Host:          outgoing.Host,
		Header:        outgoing.Header,
		ContentLength: bodyBytes,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if bodyBytes > 0 {
		request.Body = io.NopCloser(io.MultiReader(readers...))
	}
	if _, set := request.Header["User-Agent"]; !set {
		request.Header["User-Agent"] = []string{""} // suppresses the default of net/http
	}
	return request, bodyBytes
}

// readResponse reads the head of the response to this request and skips informational responses.
// On a reused connection it discards at most one response to an earlier request.
func (e *exchange) readResponse(request *http.Request, outgoing *OutgoingRequest) (*Reply, error) {
	const maxStrayBytes = 1 << 20
	strays := 0
	e.connection.bounded.limit(maxHeadBytes)
	defer e.connection.bounded.unlimit()
	for {
		response, err := e.connection.reader.ReadResponse(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			_ = response.Body.Close() // always empty
			continue
		}
		if outgoing.MatchesResponse(response.Header) {
			if strays > 0 {
				response.Close = true
			}
			return e.newReply(outgoing.Method, response), nil
		}
		strays++
		if e.connection.completedExchanges == 0 || strays > 1 || response.ContentLength < 0 || response.ContentLength > maxStrayBytes {
			return nil, eris.New("response belongs to another request")
		}
		e.connection.bounded.limit(response.ContentLength + maxHeadBytes)
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
	}
}

// parseIdleTimeout returns how long the connection may stay idle: the timeout in the Keep-Alive
// header of the response less idleTimeoutMargin, or defaultIdleTimeout if there is none.
func parseIdleTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// abandon closes the connection unless the exchange has already ended.
func (e *exchange) abandon() {
	if e.finished {
		return
	}
	e.finished = true
	e.stop()
	_ = e.connection.Close()
}

// release ends the exchange after the response was read. It returns the connection to the pool
// if the response allows reuse, the request was written completely, no bytes follow the response
// and the context has not ended. Otherwise it closes the connection.
func (e *exchange) release() {
	if e.finished {
		return
	}
	sent := false
	select {
	case err := <-e.writeResult:
		sent = err == nil
	default:
	}
	if !e.reusable || !sent || e.connection.reader.Buffered() > 0 || !e.stop() {
		e.abandon()
		return
	}
	e.finished = true
	e.connection.completedExchanges++
	e.connection.reader.Shrink()
	e.instance.pool.put(e.connection)
}

// body is a response body. It releases the connection when it was read to the end, and closes it
// after a read error or if it is closed earlier.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
	timer    *time.Timer // closes the connection; nil: the time is not limited
}

// limitTime closes the connection unless the body is read to its end within the given time.
func (b *body) limitTime(limit time.Duration) {
	b.timer = time.AfterFunc(limit, func() { _ = b.exchange.connection.Close() })
}

// end ends the exchange after the body was read to its end.
func (b *body) end() {
	if b.timer != nil && !b.timer.Stop() {
		b.exchange.abandon() // the connection is being closed
		return
	}
	b.exchange.release()
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.inner.Read(buffer)
	switch err {
	case nil:
	case io.EOF:
		b.end()
	default:
		b.exchange.abandon()
	}
	return count, err
}

// Close implements io.Closer. It closes the connection unless the body was read to the end.
func (b *body) Close() error {
	b.exchange.abandon()
	return nil
}

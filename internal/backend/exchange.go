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
)

// Outgoing is one request as an instance is to get it.
type Outgoing struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   [][]byte // written one after another
	// Belongs tells whether an answer is the answer to this request.
	Belongs func(header http.Header) bool
}

// Reply is an instance's answer. Its body must be read to the end or closed.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 when unknown
	Body   io.ReadCloser
}

// NotSentError says that no byte of the request left this process.
type NotSentError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError says that the request may have run and that no answer came.
type LostError struct {
	Peer string
	Step string
	Err  error
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("%s with %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Exchange sends the request to the instance and returns the head of its
// answer. It sends at most once. When the context ends, the connection is
// closed, so that the instance stops its work.
func (i *Instance) Exchange(ctx context.Context, outgoing *Outgoing) (*Reply, error) {
	used, err := i.pool.get(ctx)
	if err != nil {
		return nil, &NotSentError{Peer: i.Address, Err: err}
	}
	current := &exchange{instance: i, connection: used, written: make(chan error, 1)}
	current.stop = context.AfterFunc(ctx, func() { _ = used.Close() })
	reply, err := current.run(outgoing)
	if err != nil {
		current.abandon()
		return nil, err
	}
	return reply, nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	instance   *Instance
	connection *connection
	written    chan error // one result of the writer
	stop       func() bool
	reusable   bool
	finished   bool
	answered   atomic.Bool // the head of the answer was read
}

// longestInlineWrite is what fits a connection's window: larger requests are
// written beside reading, since an instance may answer before it has read all.
const longestInlineWrite = 16 << 10

func (e *exchange) run(outgoing *Outgoing) (*Reply, error) {
	request, size := encode(outgoing)
	if size <= longestInlineWrite {
		e.write(request)
	} else {
		go e.write(request)
	}
	reply, err := e.readAnswer(request, outgoing)
	if err != nil {
		return nil, &LostError{Peer: e.instance.Address, Step: "read answer", Err: e.cause(err)}
	}
	return reply, nil
}

// take makes the reply of an answer whose head was read.
func (e *exchange) take(response *http.Response) *Reply {
	e.answered.Store(true)
	e.reusable = !response.Close && response.ProtoAtLeast(1, 1)
	e.connection.idleLimit = idleLimit(response.Header)
	return &Reply{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Body:   &body{exchange: e, inner: response.Body},
	}
}

// encode makes the request; the target stays as the caller wrote it.
func encode(outgoing *Outgoing) (*http.Request, int64) {
	size := int64(0)
	readers := make([]io.Reader, 0, len(outgoing.Body))
	for _, piece := range outgoing.Body {
		size += int64(len(piece))
		readers = append(readers, bytes.NewReader(piece))
	}
	request := &http.Request{
		Method:        outgoing.Method,
		URL:           &url.URL{Opaque: outgoing.Target},
		Host:          outgoing.Host,
		Header:        outgoing.Header,
		ContentLength: size,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if size > 0 {
		request.Body = io.NopCloser(io.MultiReader(readers...))
	}
	if _, set := request.Header["User-Agent"]; !set {
		request.Header["User-Agent"] = []string{""} // keeps the library's own out
	}
	return request, size
}

// readAnswer reads the head of the answer to this request. One answer to an
// earlier request on the connection may stand before it and is dropped.
func (e *exchange) readAnswer(request *http.Request, outgoing *Outgoing) (*Reply, error) {
	const largestStray = 1 << 20
	strays := 0
	for {
		response, err := http.ReadResponse(e.connection.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			_ = response.Body.Close() // it has none
			continue
		}
		if outgoing.Belongs(response.Header) {
			if strays > 0 {
				response.Close = true
			}
			return e.take(response), nil
		}
		strays++
		if e.connection.exchanges == 0 || strays > 1 || response.ContentLength < 0 || response.ContentLength > largestStray {
			return nil, eris.New("an answer that belongs to another request")
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
	}
}

// idleLimit is how long the connection may rest by the instance's word.
func idleLimit(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleLimit
}

// abandon closes the connection.
func (e *exchange) abandon() {
	if e.finished {
		return
	}
	e.finished = true
	e.stop()
	_ = e.connection.Close()
}

// release keeps the connection for the next request, if it is sound: the
// request was written whole, and nothing stands behind the answer.
func (e *exchange) release() {
	if e.finished {
		return
	}
	sent := false
	select {
	case err := <-e.written:
		sent = err == nil
	default:
	}
	if !e.reusable || !sent || e.connection.reader.Buffered() > 0 || !e.stop() {
		e.abandon()
		return
	}
	e.finished = true
	e.connection.exchanges++
	e.instance.pool.put(e.connection)
}

// body ends the exchange when it was read to its end, or closed.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.inner.Read(buffer)
	switch err {
	case nil:
	case io.EOF:
		b.exchange.release()
	default:
		b.exchange.abandon()
	}
	return count, err
}

// Close implements io.Closer; an answer that was not read to its end takes
// its connection along.
func (b *body) Close() error {
	b.exchange.abandon()
	return nil
}

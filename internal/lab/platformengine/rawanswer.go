package platformengine

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Framing is how an engine marks the end of an answer.
type Framing int

// The framings. FramingAutomatic leaves the choice to net/http.
const (
	FramingAutomatic  Framing = iota
	FramingLength             // Content-Length
	FramingChunks             // chunks, of which the last one is empty
	FramingConnection         // neither: the answer ends with its connection
)

// Cut is where and how an engine breaks an answer off.
type Cut struct {
	AfterBytes int    // number of bytes that are sent, counting the head
	Reset      bool   // resets the connection instead of closing it
	Ends       func() // called before the connection is closed; nil: nothing happens
}

// Answer returns the bytes of a successful answer to the request, and the length of its head. The
// framing must not be FramingAutomatic.
func (e *Engine) Answer(requestID string, framing Framing) (answer []byte, headBytes int) {
	parts := e.bodyParts()
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-of-%s\r\nConnection: close\r\n", requestID, e.ID)
	if len(e.Events) > 0 {
		head.WriteString("Content-Type: text/event-stream\r\n")
	}
	switch framing {
	case FramingLength:
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", len(strings.Join(parts, "")))
	case FramingChunks:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case FramingAutomatic, FramingConnection:
	}
	head.WriteString("\r\n")
	return append(head.Bytes(), frameBody(parts, framing)...), head.Len()
}

// bodyParts returns the parts of the body of a successful answer.
func (e *Engine) bodyParts() []string {
	if len(e.Events) == 0 {
		return []string{e.text()}
	}
	var parts []string
	for index, data := range e.Events {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: %s\n\n", index+1, data))
	}
	return parts
}

// Body returns the body of a successful answer.
func (e *Engine) Body() string { return strings.Join(e.bodyParts(), "") }

func frameBody(parts []string, framing Framing) []byte {
	if framing != FramingChunks {
		return []byte(strings.Join(parts, ""))
	}
	var framed bytes.Buffer
	for _, part := range parts {
		framed.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part + "\r\n")
	}
	framed.WriteString("0\r\n\r\n")
	return framed.Bytes()
}

// sendRaw sends the answer with the framing and the cut of the behaviour, and ends the connection.
func (e *Engine) sendRaw(writer http.ResponseWriter, request *http.Request, behaviour Behaviour) {
	answer, headBytes := e.Answer(request.Header.Get("Request-Id"), behaviour.Framing)
	if request.Method == http.MethodHead {
		answer = answer[:headBytes]
	}
	cut := Cut{AfterBytes: len(answer)}
	if behaviour.Cut != nil {
		cut = *behaviour.Cut
	}
	answer = answer[:min(cut.AfterBytes, len(answer))]
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write(answer); err != nil {
		return
	}
	if behaviour.BlockStreamUntil != nil {
		<-behaviour.BlockStreamUntil
	}
	if cut.Ends != nil {
		cut.Ends()
	}
	if tcp, ok := connection.(*net.TCPConn); ok && cut.Reset {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

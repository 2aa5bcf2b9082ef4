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
	defer func() { _ = connection.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Type: %s\r\n\r\n", id, i.id, contentType)
	length := len(head) + len(strings.Join(parts, ""))
	isCut := rand.Float64() < cutShare
	if isCut {
		length = rand.IntN(length)
	}
	body, err := writeParts(connection, head, parts, length)
	if err != nil {
		return
	}
	sent := delivery{content: body, whole: !isCut, reset: isCut && rand.IntN(2) == 0}
	if contentType == mediaTypeEvents {
		sent.content, _ = readEvents(strings.NewReader(body))
	}
	i.owner.evidence.recordDelivery(id, sent)
	if tcp, ok := connection.(*net.TCPConn); ok && sent.reset {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

// writeParts writes at most length bytes of the head and the parts. It returns what it wrote of the parts.
func writeParts(connection net.Conn, head string, parts []string, length int) (body string, err error) {
	sentHead := head[:min(length, len(head))]
	if _, err := io.WriteString(connection, sentHead); err != nil {
		return "", err
	}
	length -= len(sentHead)
	for index, part := range parts {
		if index > 0 {
			time.Sleep(eventInterval)
		}
		part = part[:min(length, len(part))]
		length -= len(part)
		if _, err := io.WriteString(connection, part); err != nil {
			return body, err
		}
		body += part
	}
	return body, nil
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

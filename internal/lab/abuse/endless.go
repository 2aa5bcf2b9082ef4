package abuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// EndlessAnswer is what a faulty engine sends to each request until its connection is closed.
type EndlessAnswer struct {
	Name   string
	start  string // ID stands for the identifier of the request
	filler string // sent again and again
}

// EndlessAnswers returns all kinds of endless answers.
func EndlessAnswers() []EndlessAnswer {
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
	const chunked = signed + "Transfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 4<<10)
	return []EndlessAnswer{
		{"noise", "", line},
		{"one field", signed + "A: ", line},
		{"fields", signed, "A: " + line + "\r\n"},
		{"status lines", "", "HTTP/1.1 200 OK\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a body", signed + "\r\n", line},
		{"events", signed + "Content-Type: text/event-stream\r\n\r\n", "data: " + line + "\n\n"},
		{"one event", signed + "Content-Type: text/event-stream\r\n\r\ndata: ", line},
		{"chunks", chunked, "1000\r\n" + line + "\r\n"},
		{"the size of a chunk", chunked, "1"},
		{"the extension of a chunk", chunked + "1;", line},
		{"trailers", chunked + "0\r\n", "A: x\r\n"},
	}
}

// endlessEngine is an engine of a service of its own that sends an EndlessAnswer.
type endlessEngine struct{ listener net.Listener }

func startEndlessEngine(answer *EndlessAnswer) (*endlessEngine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &endlessEngine{listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answer.send(connection)
		}
	}()
	return engine, nil
}

// send reads a request and sends the answer until the connection is closed.
func (a *EndlessAnswer) send(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, err = io.WriteString(connection, strings.ReplaceAll(a.start, "ID", request.Header.Get("Request-Id")))
	for err == nil {
		_, err = io.WriteString(connection, a.filler)
	}
}

// endlessCallers is the number of callers of the faulty engine. Half of them use a route that is recorded.
const endlessCallers = 12

// callEndless sends requests to the faulty engine and reads the answers, until the context ends.
func callEndless(ctx context.Context, p *process) {
	var callers sync.WaitGroup
	for index := range endlessCallers {
		path := []string{pathEndless, pathEndlessTurn}[index%2]
		callers.Go(func() {
			for count := 0; ctx.Err() == nil && !p.hasEnded(); count++ {
				readEndless(ctx, p.listen.Callers, path, fmt.Sprintf("%s-endless-%d-%d", abusePrefix, index, count))
				pauseFor(ctx, ordinaryPause)
			}
		})
	}
	callers.Wait()
}

// readEndless sends one request, and reads what comes until the connection ends or the time is over.
func readEndless(ctx context.Context, address, path, id string) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	defer func() { _ = connection.Close() }()
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", path, ordinaryHost, id)
	if _, err := io.WriteString(connection, request); err == nil {
		_, _ = io.Copy(io.Discard, connection)
	}
}

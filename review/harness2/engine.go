package harness2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

func readAnswer(connection net.Conn, method string) (Answer, error) {
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Whole: err == nil}, nil
}

// EngineRun is a request that an engine has run, as it read it.
type EngineRun struct {
	ID, Method, Target, Body string
	Header                   textproto.MIMEHeader
}

// Engine is a server of a service. It reads requests byte by byte as they come, answers 421 to a request for
// another instance, runs each other one, and records it.
type Engine struct {
	id       string
	bench    *Bench
	events   int           // of each answer; 0: a plain answer
	pause    time.Duration // before each event
	listener net.Listener

	mutex sync.Mutex
	runs  []EngineRun
}

// StartEngine starts an engine and declares it in the store. With events it streams that many in each answer.
func (b *Bench) StartEngine(id, service, zone string, events int) (*Engine, error) {
	return b.StartSlowEngine(id, service, zone, events, 0)
}

// StartSlowEngine is like StartEngine, for an engine that pauses before each event.
func (b *Bench) StartSlowEngine(id, service, zone string, events int, pause time.Duration) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &Engine{id: id, bench: b, events: events, pause: pause, listener: listener}
	go engine.accept()
	return engine, b.Put("servers", id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 12,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
}

// maxKeptBody is the size of the largest body of which an engine keeps the run.
const maxKeptBody = 4 << 10

// Runs returns what the engine has run so far, without runs whose body is larger than maxKeptBody.
func (e *Engine) Runs() []EngineRun {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]EngineRun(nil), e.runs...)
}

func (e *Engine) accept() {
	for {
		connection, err := e.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			for e.serve(reader, connection) == nil {
				continue
			}
		}()
	}
}

var errBadRequest = errors.New("not a request")

// serve reads one request and answers it.
func (e *Engine) serve(reader *bufio.Reader, connection net.Conn) error {
	lines := textproto.NewReader(reader)
	line, err := lines.ReadLine()
	if err != nil {
		return err
	}
	words := strings.Split(line, " ")
	const wordsOfRequestLine = 3
	if len(words) != wordsOfRequestLine {
		return errBadRequest
	}
	header, err := lines.ReadMIMEHeader()
	if err != nil {
		return err
	}
	length, _ := strconv.Atoi(header.Get("Content-Length")) // 0 if there is none
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return err
	}
	run := EngineRun{ID: header.Get("Request-Id"), Method: words[0], Target: words[1], Body: string(body), Header: header}
	if expected := header.Get("Expect-Instance"); expected != "" && expected != e.id {
		_, err = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", run.ID, e.id)
		return err
	}
	if len(run.Body) <= maxKeptBody {
		e.mutex.Lock()
		e.runs = append(e.runs, run)
		e.mutex.Unlock()
	}
	e.bench.Note("engine %s: ran %s %s %s", e.id, run.ID, run.Method, run.Target)
	return e.answer(connection, run)
}

func (e *Engine) answer(connection net.Conn, run EngineRun) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\n", run.ID, e.id)
	if e.events == 0 {
		text := "from " + e.id
		_, err := fmt.Fprintf(connection, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, len(text), text)
		return err
	}
	if _, err := fmt.Fprintf(connection, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	for number := range e.events {
		time.Sleep(e.pause)
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number+1, run.ID, number+1)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err
}

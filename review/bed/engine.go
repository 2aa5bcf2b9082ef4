package bed

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Engine is a stand-in for an engine of a plain service, as the users' page of the protocol describes
// it. It works on Slots requests at a time, queues Queue more, and rejects the others as not executed. On a
// connection it serves one request at a time. It writes its row in the store.
type Engine struct {
	// ID names this start of the engine.
	ID string
	// Service is the service that the engine belongs to.
	Service string
	// Slots and Queue are the numbers of requests that run and wait.
	Slots, Queue int
	// Work is how long a request runs.
	Work func() time.Duration
	// Extra decides for each answer whether a second copy of it follows late, at the place where the
	// next answer on the connection is due. Nil: never.
	Extra func() bool
	// Ran is called when a request begins to run, and Answered for each answer. They may be nil.
	Ran      func(engine, request string)
	Answered func(engine, request string, status int, extra bool)

	listener net.Listener
	link     *Link
	slots    chan struct{}
	mutex    sync.Mutex
	inside   int
	rejected int
	answers  int
	extras   int
}

// Listen starts to serve at a free loopback address.
func (e *Engine) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = listener
	e.slots = make(chan struct{}, e.Slots)
	go func() {
		for {
			connection, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go e.serve(connection)
			}
		}
	}()
	return nil
}

// Close stops accepting connections.
func (e *Engine) Close() { _ = e.listener.Close() }

// Link puts a link in front of the engine, whose address its row then tells.
func (e *Engine) Link() (*Link, error) {
	var err error
	e.link, err = NewLink(e.listener.Addr().String())
	return e.link, err
}

func (e *Engine) address() string {
	if e.link != nil {
		return e.link.Address()
	}
	return e.listener.Addr().String()
}

// Row returns the row by which the engine keeps itself in the store.
func (e *Engine) Row(state string) Row {
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"leith-a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		e.Service, e.address(), e.Slots, state)
	return Row{Table: "servers", Key: e.ID, Value: []byte(value)}
}

// Counts returns the numbers of answers, of those that rejected a request, and of extra answers.
func (e *Engine) Counts() (answers, rejected, extras int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.answers, e.rejected, e.extras
}

// serve serves the requests of one connection in turn.
func (e *Engine) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }() // nothing follows
	reader := bufio.NewReader(connection)
	var extra []byte // copy of the last answer, if it is sent again
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := connection.Write(extra); err != nil {
			return
		}
		answer, status := e.answer(request)
		if _, err := connection.Write(answer); err != nil {
			return
		}
		extra = e.noteAnswer(request.Header.Get("Request-Id"), status, answer)
	}
}

// noteAnswer counts an answer, and returns the copy that follows it.
func (e *Engine) noteAnswer(id string, status int, answer []byte) (extra []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.answers++
	if status == http.StatusServiceUnavailable {
		e.rejected++
	}
	if e.Extra != nil && e.Extra() {
		e.extras++
		extra = answer
	}
	if e.Answered != nil {
		e.Answered(e.ID, id, status, extra != nil)
	}
	return extra
}

// answer runs the request, or rejects it, and returns the bytes of the answer.
func (e *Engine) answer(request *http.Request) (answer []byte, status int) {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		return encode(id, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n", nil), http.StatusMisdirectedRequest
	}
	if !e.enter() {
		return encode(id, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", nil), http.StatusServiceUnavailable
	}
	defer e.leave()
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	if e.Ran != nil {
		e.Ran(e.ID, id)
	}
	time.Sleep(e.Work())
	return encode(id, http.StatusOK, "Server-Stamp: stamp."+e.ID+"."+id+"\r\n", []byte("done by "+e.ID)), http.StatusOK
}

// enter reports whether there is a place for a request.
func (e *Engine) enter() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.inside >= e.Slots+e.Queue {
		return false
	}
	e.inside++
	return true
}

func (e *Engine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inside--
}

func encode(id string, status int, header string, body []byte) []byte {
	var answer bytes.Buffer
	_, _ = fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %s\r\n\r\n", status, http.StatusText(status), id, header, strconv.Itoa(len(body)))
	answer.Write(body)
	return answer.Bytes()
}

package bed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// ModelEngine is a stand-in for a model engine. It streams Events events for each request, goes on behind
// Last-Event-Id, and drops a request when its connection closes.
type ModelEngine struct {
	// ID names this start of the engine.
	ID string
	// Service is the service that the engine belongs to.
	Service string
	// Events is the number of events of a stream, and Gap the time before each of them.
	Events int
	Gap    time.Duration
	// Data returns the data of an event. It depends on the body alone, so that each engine goes on with
	// what another one began.
	Data func(body string, number int) string
	// Ran is called with the body of each request that begins to run, and the event behind which it goes on.
	Ran func(engine, request, body string, after int)

	listener net.Listener
}

// Listen starts to serve at a free loopback address.
func (e *ModelEngine) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = listener
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
func (e *ModelEngine) Close() { _ = e.listener.Close() }

// Row returns the row by which the engine keeps itself in the store.
func (e *ModelEngine) Row(state string) Row {
	const slots = 12
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"leith-a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		e.Service, e.listener.Addr().String(), slots, state)
	return Row{Table: "servers", Key: e.ID, Value: []byte(value)}
}

func (e *ModelEngine) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }() // nothing follows
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || e.stream(connection, request, string(body)) != nil {
			return
		}
	}
}

// stream runs the request and sends its events in chunks.
func (e *ModelEngine) stream(connection net.Conn, request *http.Request, body string) error {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		_, err := connection.Write(encode(id, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n", nil))
		return err
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 if the stream begins
	e.Ran(e.ID, id, body, after)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.ID, id)
	if _, err := io.WriteString(connection, head); err != nil {
		return err
	}
	for number := after + 1; number <= e.Events; number++ {
		time.Sleep(e.Gap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, e.Data(body, number))
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err
}

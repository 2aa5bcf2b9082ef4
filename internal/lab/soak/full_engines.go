package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Parameters of the periods in which engines of the services are full, which overlap the faults.
const (
	maxTimeBetweenFull = 6 * time.Second
	maxFullTime        = 3 * time.Second
	fullRejectShare    = 0.8 // of the requests at an engine that is full
	lateCopyShare      = 0.2 // of its rejections: a second copy follows late
)

// runFullEngines lets all engines but those of the model be full for a time, again and again until ctx is
// done. Calm rounds are not excepted: callers are refused then, and nothing else may change.
func (r *soakRun) runFullEngines(ctx context.Context, random *rand.Rand) {
	setFull := func(isFull bool) {
		for _, each := range r.engines.instances() {
			each.isFull.Store(isFull)
		}
	}
	for ctx.Err() == nil {
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxTimeBetweenFull))))
		r.logEvent("engines are full")
		setFull(true)
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxFullTime))))
		setFull(false)
	}
}

// rejectAsFull rejects a request. Some rejections are sent a second time, at the place where the next answer
// on the connection is due.
func (i *instance) rejectAsFull(writer http.ResponseWriter, id string) {
	if rand.Float64() >= lateCopyShare {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	i.owner.evidence.recordLateCopy(id)
	go i.serveAfterCopy(connection, buffer.Reader, rejectionText(id))
}

// serveAfterCopy sends the rejection twice, the second time before the answer to the next request, and
// serves the connection until it ends.
func (i *instance) serveAfterCopy(connection net.Conn, reader *bufio.Reader, rejection string) {
	defer func() { _ = connection.Close() }()
	answer, extra := rejection, ""
	for {
		if _, err := io.WriteString(connection, extra+answer); err != nil {
			return
		}
		extra = ""
		if answer == rejection {
			extra = rejection
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || isDeadly(string(body)) {
			return
		}
		answer = i.plainAnswer(request, string(body))
	}
}

// plainAnswer runs or rejects a request of a service, and returns the bytes of the answer.
func (i *instance) plainAnswer(request *http.Request, body string) string {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != i.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	if i.isFull.Load() && rand.Float64() < fullRejectShare {
		return rejectionText(id)
	}
	i.owner.evidence.recordExecution(id, execution{service: i.service, instance: i.id, version: i.version, path: request.URL.Path, prompt: body, startedAt: time.Now()})
	text := expectedAnswer(kindUnsafe, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, i.id, len(text), text)
}

func rejectionText(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
}

package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != i.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := i.currently()
	time.Sleep(now.delay)
	if rand.Float64() < now.reject {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.owner.evidence.ran(id, run{service: i.service, engine: i.id, path: request.URL.Path, prompt: string(body), began: time.Now()})
	if rand.Float64() < now.drop {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Server-Stamp", "stamp."+i.id)
	if i.service == serviceModel {
		i.stream(writer, request, id, now)
		return
	}
	answer := answerTo(kindUnsafe, id)
	if rand.Float64() < now.cut {
		writer.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(writer, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < now.extra {
		sayTwice(writer, id, i.id, answer)
		return
	}
	_, _ = io.WriteString(writer, answer)
}

// sayTwice sends the answer and another one behind it, which belongs to nobody.
func sayTwice(writer http.ResponseWriter, id, engine, answer string) {
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	for _, text := range []string{answer, "stray answer"} {
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, engine, len(text), text)
	}
	_ = buffer.Flush()
	time.AfterFunc(time.Second, func() { _ = connection.Close() })
}

const timePerItem = 4 * time.Millisecond

func (i *instance) stream(writer http.ResponseWriter, request *http.Request, id string, now conduct) {
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	cut := rand.Float64() < now.cut
	for number, item := range itemsOf(id) {
		select {
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(timePerItem):
		}
		if cut && number > 0 {
			_, _ = io.WriteString(writer, "id: 9\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number+1, item)
		_ = controller.Flush()
	}
}

// itemsOf are the data of the events of a turn: they name the request.
func itemsOf(id string) []string {
	const fewest, spread = 2, 5
	digest := fnv.New32a()
	_, _ = io.WriteString(digest, id)
	var items []string
	for number := range fewest + int(digest.Sum32()%spread) {
		items = append(items, fmt.Sprintf("%s.%d", id, number))
	}
	return items
}

// mostItems is the most that a turn generates.
const mostItems = 6

// answerTo is the right answer: a stream's data with a line feed behind each,
// or a text.
func answerTo(of kind, id string) string {
	if of == kindRecorded || of == kindPlain {
		return strings.Join(itemsOf(id), "\n") + "\n"
	}
	return "done " + id
}

func pathOf(of kind) string {
	switch of {
	case kindRecorded:
		return pathRecorded
	case kindPlain:
		return pathPlain
	case kindSafe:
		return pathSafe
	case kindMoving:
		return pathMoving
	default:
		return pathUnsafe
	}
}

func servicesOf(of kind) []string {
	switch of {
	case kindRecorded, kindPlain:
		return []string{serviceModel}
	case kindMoving:
		return []string{serviceApp, serviceOther}
	default:
		return []string{serviceApp}
	}
}

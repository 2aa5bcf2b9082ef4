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

// healthPath is where an instance says that it is healthy, and which one it is.
const healthPath = "/health"

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	expected := request.Header.Get("Expect-Instance")
	isForOther := expected != "" && expected != i.id
	if !isForOther && i.answersEarly(writer, request, id) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Request-Id", id)
	if isForOther {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == healthPath {
		writer.Header().Set("Instance-Id", i.id)
		return
	}
	behavior := i.currentBehavior()
	time.Sleep(behavior.delay)
	if i.service != serviceModel && i.isFull.Load() && rand.Float64() < fullRejectShare {
		i.rejectAsFull(writer, id)
		return
	}
	if rand.Float64() < behavior.rejectShare {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.owner.evidence.recordExecution(id, execution{service: i.service, instance: i.id, version: i.version, path: request.URL.Path, prompt: string(body), startedAt: time.Now()})
	if isDeadly(string(body)) {
		i.endUnder(writer, request, id, string(body))
	}
	if rand.Float64() < behavior.dropShare {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Server-Stamp", "stamp."+i.id)
	if i.service == serviceModel {
		writer.Header().Set("Content-Type", mediaTypeEvents)
		if request.URL.Path == pathResumable || request.URL.Path == pathContinued {
			i.streamResumable(writer, request, string(body))
			return
		}
		if !i.sendsMalformed(writer, id, strings.Join(eventTexts(eventsOf(id), 0, ""), "")) {
			i.stream(writer, request, id, behavior)
		}
		return
	}
	answer := expectedAnswer(kindUnsafe, id)
	if i.sendsMalformed(writer, id, answer) {
		return
	}
	if rand.Float64() < unframedShare {
		i.sendUnframed(writer, id, "text/plain", []string{answer}, cutUnframedShare+behavior.cutShare)
		return
	}
	if rand.Float64() < behavior.cutShare {
		writer.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(writer, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < behavior.extraShare {
		sendTwoAnswers(writer, id, i.id, answer)
		return
	}
	_, _ = io.WriteString(writer, answer)
}

// sendTwoAnswers sends the answer and, on the same connection, a second answer that
// belongs to no request.
func sendTwoAnswers(writer http.ResponseWriter, id, engine, answer string) {
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

// eventInterval is the time between two events of a stream.
const eventInterval = 4 * time.Millisecond

func (i *instance) stream(writer http.ResponseWriter, request *http.Request, id string, behavior instanceBehavior) {
	if rand.Float64() < unframedShare {
		i.sendUnframed(writer, id, mediaTypeEvents, eventTexts(eventsOf(id), 0, ""), cutUnframedShare+behavior.cutShare)
		return
	}
	cut := rand.Float64() < behavior.cutShare
	for index, event := range eventsOf(id) {
		waitForEvent(request)
		if cut && index > 0 {
			_, _ = io.WriteString(writer, "id: 9\nda")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		writeEvent(writer, index, event)
	}
}

// waitForEvent waits until the next event of a stream is due. It aborts the answer if the gateway
// disconnects.
func waitForEvent(request *http.Request) {
	select {
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(eventInterval):
	}
}

func writeEvent(writer http.ResponseWriter, index int, data string) {
	_, _ = io.WriteString(writer, eventText(index, data))
	_ = http.NewResponseController(writer).Flush()
}

// eventsOf returns the data of the events that answer the turn with this request
// identifier. The data contains the identifier.
func eventsOf(id string) []string {
	const minEvents, eventSpread = 2, 5
	digest := fnv.New32a()
	_, _ = io.WriteString(digest, id)
	var events []string
	for index := range minEvents + int(digest.Sum32()%eventSpread) {
		events = append(events, fmt.Sprintf("%s.%d", id, index))
	}
	return events
}

// maxEvents is the maximum number of events that answer a turn.
const maxEvents = 6

// expectedAnswer returns the correct answer to a request: for turns, the data of all
// events with a line feed after each; for others, a text.
func expectedAnswer(kind requestKind, id string) string {
	if kind == kindRecorded || kind == kindPlain {
		return strings.Join(eventsOf(id), "\n") + "\n"
	}
	return "done " + id
}

// expectedContent returns what the attempt must receive, without the versions of engines.
func (a *attempt) expectedContent() string {
	if !a.kind.mayBeTakenUp() {
		return expectedAnswer(a.kind, a.id)
	}
	content := ""
	events := resumableEvents(a.prompt)
	for _, event := range events[min(a.resumeFrom, len(events)):] { // an engine that ran another prompt may have sent more
		content += event + "\n"
	}
	return content
}

func pathOf(kind requestKind) string {
	switch kind {
	case kindRecorded:
		return pathRecorded
	case kindPlain:
		return pathPlain
	case kindResumable:
		return pathResumable
	case kindContinued:
		return pathContinued
	case kindSafe:
		return pathSafe
	case kindMoving:
		return pathMoving
	default:
		return pathUnsafe
	}
}

// path returns the path of the request.
func (a *attempt) path() string {
	if a.kind == kindAdded {
		return a.addition.path()
	}
	return pathOf(a.kind)
}

func servicesOf(kind requestKind) []string {
	switch kind {
	case kindRecorded, kindPlain, kindResumable, kindContinued:
		return []string{serviceModel}
	case kindMoving:
		return []string{serviceApp, serviceOther}
	default:
		return []string{serviceApp}
	}
}

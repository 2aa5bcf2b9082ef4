package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
	"github.com/thymeloft/thymeloft/internal/state"
)

// engines are the instances of all services.
type engines struct {
	evidence *evidence
	store    *store
	stop     chan struct{}
	beats    sync.WaitGroup

	mutex   sync.Mutex
	all     []*instance
	started int
}

// instance is one start of an engine or of a service's copy.
type instance struct {
	id      string
	service string
	link    *faultproxy.Link
	server  *http.Server
	owner   *engines

	mutex    sync.Mutex
	draining bool
	silent   bool // writes no heartbeats any more
	sequence int
	conduct  conduct
}

// conduct is how an instance treats its requests; shares are of one.
type conduct struct {
	reject, drop, cut, extra float64
	delay                    time.Duration
}

const heartbeat = 600 * time.Millisecond

// newEngines starts the instances of all services.
func newEngines(noted *evidence, writes *store) (*engines, error) {
	made := &engines{evidence: noted, store: writes, stop: make(chan struct{})}
	for _, service := range []string{serviceModel, serviceModel, serviceModel, serviceApp, serviceApp, serviceOther, serviceOther} {
		if err := made.add(service, "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	made.beats.Go(made.beat)
	return made, nil
}

// add starts an instance; its address may have been another one's.
func (e *engines) add(service, address string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for an engine")
	}
	link, err := faultproxy.Listen(address, listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.started++
	made := &instance{id: fmt.Sprintf("i-%s-%d", service, e.started), service: service, link: link, owner: e}
	made.server = &http.Server{Handler: made}
	go func() { _ = made.server.Serve(listener) }()
	e.all = append(e.all, made)
	made.declare()
	return nil
}

func (e *engines) close() {
	close(e.stop)
	e.beats.Wait()
	for _, each := range e.current() {
		each.end()
	}
}

func (e *engines) current() []*instance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]*instance{}, e.all...)
}

// of returns the instances of a service that neither leave nor are silent.
func (e *engines) of(service string) []*instance {
	var found []*instance
	for _, each := range e.current() {
		each.mutex.Lock()
		if each.service == service && !each.draining && !each.silent {
			found = append(found, each)
		}
		each.mutex.Unlock()
	}
	return found
}

func (e *engines) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			for _, each := range e.current() {
				each.declare()
			}
		}
	}
}

// declare writes the instance's entry.
func (i *instance) declare() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.silent {
		return
	}
	i.sequence++
	condition := "ready"
	if i.draining {
		condition = "draining"
	}
	value := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":%d}`,
		i.service, i.link.Address(), condition, i.sequence)
	i.owner.store.operatorWrites(state.Put{Key: state.Key{Table: "servers", Name: i.id}, Value: value})
}

// drain announces that the instance leaves.
func (i *instance) drain() {
	i.mutex.Lock()
	i.draining = true
	i.mutex.Unlock()
	i.declare()
	i.owner.evidence.left(i.id)
}

// forget takes the instance's entry away.
func (i *instance) forget() {
	i.mutex.Lock()
	i.silent = true
	i.mutex.Unlock()
	i.owner.store.operatorRemoves(state.Key{Table: "servers", Name: i.id})
}

// end stops the instance at once; its connections are reset.
func (i *instance) end() {
	i.mutex.Lock()
	i.silent = true
	i.mutex.Unlock()
	_ = i.link.Close()
	_ = i.server.Close()
	i.owner.mutex.Lock()
	defer i.owner.mutex.Unlock()
	for index, each := range i.owner.all {
		if each == i {
			i.owner.all = append(i.owner.all[:index], i.owner.all[index+1:]...)
			return
		}
	}
}

func (i *instance) behave(next conduct) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.conduct = next
}

func (i *instance) currently() conduct {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.conduct
}

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

// Command 1 is a case of the review: an engine sends a late extra answer, and the request that it belongs
// to is sent to that engine again.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/review/bed"
)

// The deployment and the load. Both engines together serve 40 requests a second, and the clients would
// send a few more, so that an engine is often full for a short time.
const (
	gateways          = 6
	clientsPerGateway = 2
	slots             = 2
	queue             = 2
	work              = 100 * time.Millisecond
	duration          = 80 * time.Second
	settle            = 4 * time.Second // from the last request until all runs have ended
)

// The disruption, within the largest dose of the site file: one of two engines (share 0.5 of 0.6), three in
// a hundred of its answers, for five seconds each time.
const (
	extraShare  = 0.03
	extraFor    = 5 * time.Second
	extraPeriod = 6 * time.Second
	extraFrom   = 3 * time.Second
)

const configuration = `{"version":1,"routes":[
 {"name":"pay","host":"app.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":3000,"target_latency_ms":500,"service":"factor-app","max_attempts":1}],
 "services":[{"name":"factor-app"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	impossible = 2
)

func main() { os.Exit(run()) }

func run() int {
	b, err := bed.Open(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println("the case can't run:", err)
		return impossible
	}
	defer b.Close()
	result, err := play(b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case can't run:", err)
		return impossible
	}
	return result
}

// journal notes what engines ran and what clients were told.
type journal struct {
	bed   *bed.Bed
	mutex sync.Mutex
	runs  map[string][]string // by the request's id: engines
	told  map[string]int      // by the request's id: status
}

func (j *journal) ran(engine, id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[id] = append(j.runs[id], engine)
	j.bed.Log("%s ran at %s", id, engine)
}

func (j *journal) answered(id string, status int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.told[id] = status
	j.bed.Log("%s answered to the client: %d", id, status)
}

func play(b *bed.Bed, trouble bool) (int, error) {
	j := &journal{bed: b, runs: map[string][]string{}, told: map[string]int{}}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var garbling atomic.Bool
	var engines []*bed.Engine
	rows := []bed.Row{{Table: "op", Key: "config", Value: []byte(configuration)}}
	for number := range 2 {
		engine := &bed.Engine{ID: fmt.Sprintf("i-%d", number+1), Service: "factor-app", Slots: slots, Queue: queue, Ran: j.ran, Work: workTime}
		engine.Answered = func(engine, id string, status int, extra bool) {
			b.Log("%s answered by %s: %d%s", id, engine, status, map[bool]string{true: ", and once more later"}[extra])
		}
		if err := engine.Listen(); err != nil {
			return impossible, err
		}
		defer engine.Close()
		engines = append(engines, engine)
		rows = append(rows, engine.Row("ready"))
	}
	engines[0].Extra = func() bool { return garbling.Load() && random.Float64() < extraShare } // the engine's mutex is held
	if err := b.Put(rows...); err != nil {
		return impossible, err
	}
	for number := range gateways {
		if _, err := b.AddGateway(fmt.Sprintf("front-leith-a-%d", number+1), "leith-a"); err != nil {
			return impossible, err
		}
	}
	for _, gateway := range b.Gateways {
		if err := gateway.AwaitReady(); err != nil {
			return impossible, err
		}
	}
	time.Sleep(5 * time.Second) // the gateways have met
	end := b.Now() + duration
	var clients sync.WaitGroup
	for index, gateway := range b.Gateways {
		for number := range clientsPerGateway {
			clients.Go(func() { sendUntil(b, j, gateway, fmt.Sprintf("%d%d", index, number), end) })
		}
	}
	if trouble {
		go garble(b, &garbling, end)
	}
	clients.Wait()
	time.Sleep(settle)
	return judge(b, j, engines), nil
}

// workTime is spread around the mean.
func workTime() time.Duration { return work/2 + rand.N(work) }

// garble lets the first engine send extra answers, five seconds in eight.
func garble(b *bed.Bed, garbling *atomic.Bool, end time.Duration) {
	time.Sleep(extraFrom)
	for b.Now()+extraFor < end {
		b.Log("garble (extra late) begins at i-1")
		garbling.Store(true)
		time.Sleep(extraFor)
		garbling.Store(false)
		b.Log("garble ends")
		time.Sleep(extraPeriod - extraFor)
	}
}

// sendUntil sends requests that must not be repeated, one after the other, each under its own id.
func sendUntil(b *bed.Bed, j *journal, gateway *bed.Gateway, name string, end time.Duration) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	for number := 0; b.Now() < end; number++ {
		id := fmt.Sprintf("%s%012d", name, number)
		request, err := http.NewRequest(http.MethodPost, "http://"+gateway.Callers+"/pay/"+id, strings.NewReader("amount="+id))
		if err != nil {
			return
		}
		request.Host = "app.example"
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "3000")
		request.GetBody = nil // the client sends nothing twice by itself
		b.Log("%s sent to %s", id, gateway.Machine)
		response, err := client.Do(request)
		if err != nil {
			b.Log("%s has no answer: %v", id, err)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // the content does not matter
		_ = response.Body.Close()                 // nothing follows
		j.answered(id, response.StatusCode)
		time.Sleep(rand.N(40 * time.Millisecond))
	}
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// judge counts the requests that ran more than once, and those that ran though the client was told that
// they did not.
func judge(b *bed.Bed, j *journal, engines []*bed.Engine) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	twice, refused := 0, 0
	for id, runs := range j.runs {
		if len(runs) > 1 {
			twice++
			b.Log("BROKEN: TWICE: %s ran %d times: %v", id, len(runs), runs)
		}
		if promises[j.told[id]] {
			refused++
			b.Log("BROKEN: REFUSED: %s was answered %d and ran at %v", id, j.told[id], runs)
		}
	}
	statuses := map[int]int{}
	for _, status := range j.told {
		statuses[status]++
	}
	for _, engine := range engines {
		answers, rejected, extras := engine.Counts()
		b.Log("%s sent %d answers, %d of them not executed, and %d extra ones", engine.ID, answers, rejected, extras)
	}
	summary := fmt.Sprintf("%d requests ran, answers to clients by status %v; ran twice: %d; ran though refused: %d", len(j.runs), statuses, twice, refused)
	b.Log("%s", summary)
	fmt.Println(summary)
	if twice+refused > 0 {
		return broken
	}
	return held
}

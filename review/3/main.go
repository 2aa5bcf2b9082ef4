// Command 3 is a case of the review: a turn whose stream a client took up again is kept without the part
// that came before.
package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thymeloft/thymeloft/review/bed"
)

// The deployment and the load.
const (
	gateways = 3
	programs = 12
	turns    = 8
	events   = 8
	gap      = 40 * time.Millisecond
	stagger  = 30 * time.Millisecond // between the starts of two programs
	darkFor  = 3 * time.Second       // the killed process is away for that long
	killAt   = 1500 * time.Millisecond
	attempts = 3 // of one turn, the first one included
)

const configuration = `{"version":1,"routes":[
 {"name":"chat","host":"app.example","path_prefix":"/chat/","type":"streaming","timeout_ms":4000,"target_latency_ms":200,"target_gap_ms":200,"service":"assess-models","max_attempts":1,"retained":true,"retention_s":60,"resumable":true,"sticky":true}],
 "services":[{"name":"assess-models","engine":{"slots":12,"stride_tokens":8,"kv_capacity_tokens":127559}}],
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

// journal notes the bodies that engines ran.
type journal struct {
	bed    *bed.Bed
	mutex  sync.Mutex
	bodies map[string][]string // by the request's id
	whole  int                 // turns that clients got whole
	resent int                 // streams that clients took up
	wrong  int                 // turns that an engine ran with another body than the chain
}

func (j *journal) ran(engine, id, body string, after int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.bodies[id] = append(j.bodies[id], body)
	j.bed.Log("%s ran at %s behind event %d with the body %q", id, engine, after, body)
}

// data is what an engine makes of a prompt.
func data(body string, number int) string {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(body)) // never fails
	return fmt.Sprintf("%08x.%d", digest.Sum32(), number)
}

func play(b *bed.Bed, trouble bool) (int, error) {
	j := &journal{bed: b, bodies: map[string][]string{}}
	rows := []bed.Row{{Table: "op", Key: "config", Value: []byte(configuration)}}
	for number := range 2 {
		engine := &bed.ModelEngine{ID: fmt.Sprintf("i-%d", number+1), Service: "assess-models", Events: events, Gap: gap, Data: data, Ran: j.ran}
		if err := engine.Listen(); err != nil {
			return impossible, err
		}
		defer engine.Close()
		rows = append(rows, engine.Row("ready"))
	}
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
	time.Sleep(6 * time.Second) // the gateways have met
	var clients sync.WaitGroup
	for number := range programs {
		clients.Go(func() { converse(b, j, number) })
	}
	if trouble {
		clients.Go(func() { killOne(b) })
	}
	clients.Wait()
	return judge(b, j), nil
}

// killOne kills one gateway while it relays streams, and starts it again.
func killOne(b *bed.Bed) {
	victim := b.Gateways[0]
	time.Sleep(killAt)
	b.Log("node_kill of %s", victim.Machine)
	_ = victim.Signal(syscall.SIGKILL) // the process runs
	victim.AwaitEnd(darkFor)
	time.Sleep(darkFor)
	if err := victim.Start(); err != nil {
		b.Log("%s did not start: %v", victim.Machine, err)
	}
}

// converse plays a program: a chain of turns, each at the next gateway. A broken stream is taken up at
// another gateway, behind the last event that came whole.
func converse(b *bed.Bed, j *journal, program int) {
	previous, chain := "", ""
	time.Sleep(time.Duration(program) * stagger) // so that streams are under way at any moment
	for turn := range turns {
		input := fmt.Sprintf("input %d of program %d\n", turn+1, program)
		var got []string
		id, complete := "", false
		for attempt := 0; attempt < attempts && !complete; attempt++ {
			id = fmt.Sprintf("%04d%04d%08d", program, turn, attempt)
			gateway := b.Gateways[(program+turn+attempt)%gateways]
			request := newRequest(gateway, id, program, previous, input)
			if len(got) > 0 {
				request.Header.Set("Last-Event-Id", strconv.Itoa(len(got)))
				j.noteResumed()
			}
			b.Log("%s sent to %s, previous turn %q, behind event %d", id, gateway.Machine, previous, len(got))
			var status int
			got, status, complete = receive(request, got)
			b.Log("%s answered %d, %d events so far, whole: %t", id, status, len(got), complete)
		}
		if !complete {
			return // the program fails; it says nothing of the rule
		}
		output := strings.Join(got, "\n") + "\n"
		j.check(id, chain+input)
		previous, chain = id, chain+input+output
		j.noteWhole()
		time.Sleep(50 * time.Millisecond)
	}
}

func newRequest(gateway *bed.Gateway, id string, program int, previous, input string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+gateway.Callers+"/chat/2f", strings.NewReader(input))
	if err != nil {
		panic(err) // happens only for an address that can't be parsed
	}
	request.GetBody = nil // the client sends nothing twice by itself
	request.Host = "app.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "4000", "Program-Id": fmt.Sprintf("p%d", program), "Session-Id": fmt.Sprintf("s%d", program),
		"Program-Deadline-Ms": "60000", "Token-Budget": "100000", "Token-Usage": fmt.Sprintf("200,%d", 8*events),
	} {
		request.Header.Set(name, value)
	}
	if previous != "" {
		request.Header.Set("Previous-Turn", previous)
	}
	return request
}

// receive sends the request and adds the data of the events that come whole to got.
func receive(request *http.Request, got []string) (events []string, status int, complete bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return got, 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return got, response.StatusCode, false
	}
	lines := bufio.NewScanner(response.Body)
	pending := ""
	for lines.Scan() {
		if value, isData := strings.CutPrefix(lines.Text(), "data: "); isData {
			pending = value
		}
		if lines.Text() == "" && pending != "" {
			got, pending = append(got, pending), ""
		}
	}
	return got, response.StatusCode, lines.Err() == nil
}

func (j *journal) noteResumed() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.resent++
}

func (j *journal) noteWhole() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.whole++
}

// check compares the bodies with which engines ran a turn with the chain's inputs and outputs, followed by
// the turn's input.
func (j *journal) check(id, expected string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, body := range j.bodies[id] {
		if body != expected {
			j.wrong++
			j.bed.Log("BROKEN: UNASKED: %s ran with the body %q; the chain and its input are %q", id, body, expected)
		}
	}
}

func judge(b *bed.Bed, j *journal) int {
	summary := fmt.Sprintf("turns answered whole: %d; streams taken up: %d; turns run with another body than their chain: %d", j.whole, j.resent, j.wrong)
	b.Log("%s", summary)
	fmt.Println(summary)
	if j.whole == 0 {
		return impossible
	}
	if j.wrong > 0 {
		return broken
	}
	return held
}

// Command 2 is a case of the review: open connections go silent, and gateways go on with an old
// configuration.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/review/bed"
)

// The bounds of the site file.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
)

// The deployment and the load: programs for a while, as many as a site has at a time, then calls of tools
// alone.
const (
	gateways           = 3
	programsPerGateway = 20
	programsFor        = 7 * time.Second
	callsPerSecond     = 10 // at each gateway
	calmFor            = 3 * time.Second
	changeAfter        = 200 * time.Millisecond // from the silence to the change of the configuration
	watchFor           = 9 * time.Second        // from the silence on
	rounds             = 4
)

// configurationOf leads the calls to the service.
func configurationOf(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"chat","host":"app.example","path_prefix":"/chat/","type":"streaming","timeout_ms":4000,"target_latency_ms":200,"target_gap_ms":200,"service":"assess-models","max_attempts":1,"retained":true,"retention_s":60,"resumable":false,"sticky":true},
 {"name":"call","host":"app.example","path_prefix":"/call/","type":"safe","timeout_ms":1200,"target_latency_ms":150,"service":%q,"max_attempts":2}],
 "services":[{"name":"assess-models","engine":{"slots":12,"stride_tokens":8,"kv_capacity_tokens":127559}},{"name":"factor-app"},{"name":"factor-app-2"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, service)
}

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
	c := &scene{bed: b, services: map[string]string{}}
	if err := c.start(); err != nil {
		fmt.Println("the case can't run:", err)
		return impossible
	}
	return c.play(os.Getenv("TROUBLE") != "0")
}

// scene is the deployment and what was seen in it.
type scene struct {
	bed   *bed.Bed
	links []*bed.Link

	mutex    sync.Mutex
	services map[string]string // by the id of a call: the service that ran it
	calls    []call
	turns    int
}

// call is a call of a client.
type call struct {
	id, gateway string
	sent        time.Duration
	status      int
}

func (c *scene) start() error {
	rows := []bed.Row{{Table: "op", Key: "config", Value: []byte(configurationOf(1, "factor-app"))}}
	for number := range 2 {
		engine := &bed.ModelEngine{ID: fmt.Sprintf("m-%d", number+1), Service: "assess-models", Events: 8, Gap: 20 * time.Millisecond, Data: func(_ string, event int) string { return fmt.Sprint(event) }, Ran: func(string, string, string, int) {}}
		if err := engine.Listen(); err != nil {
			return err
		}
		rows = append(rows, engine.Row("ready"))
	}
	for number, service := range []string{"factor-app", "factor-app", "factor-app-2", "factor-app-2"} {
		engine := &bed.Engine{ID: fmt.Sprintf("a-%d", number+1), Service: service, Slots: 6, Queue: 24, Work: func() time.Duration { return 20 * time.Millisecond }}
		engine.Ran = func(_, id string) { c.ran(id, service) }
		if err := engine.Listen(); err != nil {
			return err
		}
		link, err := engine.Link()
		if err != nil {
			return err
		}
		c.links = append(c.links, link)
		rows = append(rows, engine.Row("ready"))
	}
	if err := c.bed.Put(rows...); err != nil {
		return err
	}
	for number := range gateways {
		gateway, err := c.bed.AddLinkedGateway(fmt.Sprintf("front-leith-a-%d", number+1), "leith-a")
		if err != nil {
			return err
		}
		c.links = append(c.links, gateway.Links...)
	}
	for _, gateway := range c.bed.Gateways {
		if err := gateway.AwaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second) // the gateways have met, and the first start is over
	return nil
}

func (c *scene) ran(id, service string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.services[id] = service
}

// round is one silence and the change of the configuration that follows it. Times are since the start.
type round struct {
	silent, acknowledged, end time.Duration
	service                   string // to which the change leads the calls
}

func (c *scene) play(trouble bool) int {
	b := c.bed
	var callers sync.WaitGroup
	stop := b.Now() + rounds*(programsFor+calmFor+watchFor) + time.Second
	for index, gateway := range b.Gateways {
		callers.Go(func() { c.callUntil(gateway, index, stop) })
	}
	var played []round
	for number := range rounds {
		one, err := c.playRound(number, trouble)
		if err != nil {
			fmt.Println("the case can't run:", err)
			return impossible
		}
		played = append(played, one)
	}
	callers.Wait()
	time.Sleep(2 * time.Second)
	return c.judge(played)
}

// playRound plays programs, then lets the connections go silent and changes the configuration.
func (c *scene) playRound(number int, trouble bool) (round, error) {
	b := c.bed
	var programs sync.WaitGroup
	end := b.Now() + programsFor
	for index := range b.Gateways {
		for program := range programsPerGateway {
			programs.Go(func() { c.converse(index, fmt.Sprintf("p%d-%d-%d", number, index, program), end) })
		}
	}
	programs.Wait()
	time.Sleep(calmFor)
	one := round{silent: b.Now(), service: []string{"factor-app-2", "factor-app"}[number%2]}
	if trouble {
		open := 0
		for _, link := range c.links {
			open += link.Silence()
		}
		b.Log("%d open connections go silent: between gateways, to the store and to engines", open)
	}
	time.Sleep(changeAfter)
	version := number + 2
	if err := b.Configure(configurationOf(version, one.service)); err != nil {
		return one, err
	}
	one.acknowledged = b.Now()
	b.Log("the store has acknowledged version %d, which leads the calls to %s", version, one.service)
	time.Sleep(watchFor)
	one.end = b.Now()
	return one, nil
}

// converse plays turns of a program, one after the other, each at the next gateway.
func (c *scene) converse(index int, name string, end time.Duration) {
	client := &http.Client{Timeout: 5 * time.Second}
	previous := ""
	for turn := 0; c.bed.Now() < end; turn++ {
		id := fmt.Sprintf("%s-%d", name, turn)
		gateway := c.bed.Gateways[(index+turn)%gateways]
		headers := map[string]string{
			"Program-Id": name, "Session-Id": name, "Program-Deadline-Ms": "20000", "Token-Budget": "4000", "Token-Usage": "200,64", "Deadline-Ms": "4000",
		}
		if previous != "" {
			headers["Previous-Turn"] = previous
		}
		response, err := send(client, gateway, http.MethodPost, "/chat/2f", id, headers)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // nothing follows
		if err == nil && response.StatusCode == http.StatusOK {
			previous = id
			c.mutex.Lock()
			c.turns++
			c.mutex.Unlock()
		}
	}
}

func send(client *http.Client, gateway *bed.Gateway, method, path, id string, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+gateway.Callers+path, strings.NewReader("input of "+id))
	if err != nil {
		return nil, err
	}
	request.Host = "app.example"
	request.Header.Set("Request-Id", id)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	return client.Do(request)
}

// callUntil sends calls at a steady rate, each on a connection of its own.
func (c *scene) callUntil(gateway *bed.Gateway, index int, end time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	var sending sync.WaitGroup
	for number := 0; c.bed.Now() < end; number++ {
		id := fmt.Sprintf("c%d%06d", index, number)
		sending.Go(func() {
			sent := c.bed.Now()
			response, err := send(client, gateway, http.MethodPost, "/call/2f", id, map[string]string{"Deadline-Ms": "1200"})
			status := 0
			if err == nil {
				status = response.StatusCode
				_, _ = io.Copy(io.Discard, response.Body) // the content does not matter
				_ = response.Body.Close()                 // nothing follows
			}
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.calls = append(c.calls, call{id: id, gateway: gateway.Machine, sent: sent, status: status})
		})
		time.Sleep(time.Second / callsPerSecond)
	}
	sending.Wait()
}

// judge counts the calls that the former service ran although they were sent later than the bound, at
// machines in touch.
func (c *scene) judge(played []round) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late, after := 0, 0
	for _, each := range c.calls {
		service := c.services[each.id]
		c.bed.Log("%s sent to %s at %.3f: %d, run by %q", each.id, each.gateway, each.sent.Seconds(), each.status, service)
		for _, one := range played {
			due := max(one.acknowledged+configApply, one.silent+contact)
			if each.sent <= due || each.sent > one.end || service == "" {
				continue
			}
			after++
			if service != one.service {
				late++
				c.bed.Log("BROKEN: CONFIG: %s was sent to %s %.3f s after the acknowledgement and %.3f s after the silence, and the former service ran it",
					each.id, each.gateway, (each.sent - one.acknowledged).Seconds(), (each.sent - one.silent).Seconds())
			}
		}
	}
	summary := fmt.Sprintf("turns: %d; calls run that were sent after the bound: %d, %d of them by the former service", c.turns, after, late)
	c.bed.Log("%s", summary)
	fmt.Println(summary)
	if after == 0 {
		return impossible
	}
	if late > 0 {
		return broken
	}
	return held
}

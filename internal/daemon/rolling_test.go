package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/callerapi"
)

const (
	loadCallers   = 6
	turnsOfLoad   = 3
	answeredEvent = "event: answer"
	longCall      = `{"target":"model","name":"assess","messages":[{"role":"user","content":"turn %d tokens=400"}],"max_tokens":400,"stream":true}`
)

// load is callers that run programs one after the other, at changing daemons.
type load struct {
	fleet    *fleet
	mutex    sync.Mutex // guards members
	members  []*member
	stop     atomic.Bool
	programs sync.Map // finished programs
	finished atomic.Int64
	cut      []string // streams that ended without their answer; guarded by the mutex
	running  sync.WaitGroup
}

func (l *load) use(members ...*member) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.members = slices.Clone(members)
}

func (l *load) pick(number int) *member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.members[number%len(l.members)]
}

func (l *load) start() {
	for caller := range loadCallers {
		l.running.Go(func() {
			defer GinkgoRecover()
			for round := 0; !l.stop.Load(); round++ {
				l.program(caller, round)
			}
		})
	}
}

func (l *load) cutOff(path string, answered reply, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = append(l.cut, fmt.Sprintf("%s: %d, %v: %s", path, answered.status, err, answered.body))
}

// program runs one program, each call until it is answered.
func (l *load) program(caller, round int) {
	created := l.until(caller, "/v1/programs", fmt.Sprintf(`{"creation_key":"load-%d-%d"}`, caller, round), http.StatusCreated)
	var program callerapi.CreateReply
	created.decode(&program)
	for turn := 1; turn <= turnsOfLoad; turn++ {
		path := fmt.Sprintf("/v1/programs/%s/calls/%d", program.Program, turn)
		streamed := l.until(caller+turn, path, fmt.Sprintf(longCall, turn), http.StatusOK)
		if !strings.Contains(streamed.body, answeredEvent) {
			l.cutOff(path, streamed, nil)
		}
	}
	l.programs.Store(program.Program, true)
	l.finished.Add(1)
}

// until repeats a request, each time at the next daemon, until it has the status.
func (l *load) until(first int, path, body string, status int) reply {
	for number := first; ; number++ {
		answered, err := l.pick(number).try("POST", path, body)
		switch {
		case err != nil && answered.status != 0:
			l.cutOff(path, answered, err)
		case err != nil || answered.status == http.StatusServiceUnavailable:
		default:
			Expect(answered.status).To(Equal(status), answered.body)
			return answered
		}
	}
}

var _ = Describe("a rolling restart under load", func() {
	It("cuts off no stream and loses no history", func() {
		f := newFleet(3)
		f.declare()
		l := &load{fleet: f}
		l.use(f.members...)
		l.start()
		for number := range 3 {
			before := l.finished.Load()
			Eventually(l.finished.Load).Should(BeNumerically(">", before+2))
			f.restart(l, number)
		}
		l.stop.Store(true)
		l.running.Wait()
		Expect(l.cut).To(BeEmpty())
		l.programs.Range(func(program, _ any) bool {
			var history callerapi.History
			f.members[0].send("GET", fmt.Sprintf("/v1/programs/%s/history", program), "").decode(&history)
			Expect(history.Messages).To(HaveLen(2 * turnsOfLoad))
			return true
		})
	})
})

// restart replaces one daemon by a new process on the same machine. Callers
// go on using the one that drains.
func (f *fleet) restart(l *load, number int) {
	GinkgoHelper()
	leaving := f.members[number]
	leaving.stop()
	var ended error
	Eventually(leaving.ended).Should(Receive(&ended))
	leaving.ended <- ended
	Expect(ended).NotTo(HaveOccurred())
	started := f.startMember(number, len(f.members))
	f.members = f.members[:len(f.members)-1]
	f.members[number] = started
	Eventually(started.Ready).Should(BeTrue())
	Eventually(started.acceptingEngines).Should(Equal(1))
	l.use(f.members...)
}

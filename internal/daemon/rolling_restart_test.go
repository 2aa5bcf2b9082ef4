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
	callerCount     = 6
	turnsPerProgram = 3
	answeredEvent   = "event: answer"
	longModelCall   = `{"target":"model","name":"assess","messages":[{"role":"user","content":"turn %d tokens=400"}],"max_tokens":400,"stream":true}`
)

// loadGenerator runs concurrent callers. Each caller runs one program after
// another and sends the requests to different daemons.
type loadGenerator struct {
	cluster   *cluster
	mutex     sync.Mutex // guards members and truncated
	members   []*member
	stop      atomic.Bool
	programs  sync.Map // identifiers of the finished programs
	finished  atomic.Int64
	truncated []string // streams that ended without an answer
	callers   sync.WaitGroup
}

func (l *loadGenerator) setMembers(members ...*member) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.members = slices.Clone(members)
}

func (l *loadGenerator) memberFor(number int) *member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.members[number%len(l.members)]
}

func (l *loadGenerator) start() {
	for caller := range callerCount {
		l.callers.Go(func() {
			defer GinkgoRecover()
			for round := 0; !l.stop.Load(); round++ {
				l.runProgram(caller, round)
			}
		})
	}
}

func (l *loadGenerator) recordTruncated(path string, answered reply, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.truncated = append(l.truncated, fmt.Sprintf("%s: %d, %v: %s", path, answered.status, err, answered.body))
}

// runProgram creates one program and runs its calls. It records the streams that
// end without an answer.
func (l *loadGenerator) runProgram(caller, round int) {
	created := l.sendUntil(caller, "/v1/programs", fmt.Sprintf(`{"creation_key":"load-%d-%d"}`, caller, round), http.StatusCreated)
	var program callerapi.CreateReply
	created.decode(&program)
	for turn := 1; turn <= turnsPerProgram; turn++ {
		path := fmt.Sprintf("/v1/programs/%s/calls/%d", program.Program, turn)
		streamed := l.sendUntil(caller+turn, path, fmt.Sprintf(longModelCall, turn), http.StatusOK)
		if !strings.Contains(streamed.body, answeredEvent) {
			l.recordTruncated(path, streamed, nil)
		}
	}
	l.programs.Store(program.Program, true)
	l.finished.Add(1)
}

// sendUntil sends a request to one daemon after another until it gets a complete
// reply other than 503 Service Unavailable, and returns that reply, which must
// have the given status. It records the replies that were cut off.
func (l *loadGenerator) sendUntil(firstMember int, path, body string, status int) reply {
	for number := firstMember; ; number++ {
		answered, err := l.memberFor(number).trySend("POST", path, body)
		switch {
		case err != nil && answered.status != 0:
			l.recordTruncated(path, answered, err)
		case err != nil || answered.status == http.StatusServiceUnavailable:
		default:
			Expect(answered.status).To(Equal(status), answered.body)
			return answered
		}
	}
}

var _ = Describe("a rolling restart under load", func() {
	It("does not cut off streams or lose history", func() {
		c := newCluster(3)
		c.applyConfiguration()
		l := &loadGenerator{cluster: c}
		l.setMembers(c.members...)
		l.start()
		for number := range 3 {
			before := l.finished.Load()
			Eventually(l.finished.Load).Should(BeNumerically(">", before+2))
			c.restart(l, number)
		}
		l.stop.Store(true)
		l.callers.Wait()
		Expect(l.truncated).To(BeEmpty())
		l.programs.Range(func(program, _ any) bool {
			var history callerapi.History
			c.members[0].send("GET", fmt.Sprintf("/v1/programs/%s/history", program), "").decode(&history)
			Expect(history.Messages).To(HaveLen(2 * turnsPerProgram))
			return true
		})
	})
})

// restart stops one daemon and starts a new one with the same machine name.
// Callers send requests to the old daemon too until the new one is ready, so some
// of their requests fail and are sent to another daemon.
func (c *cluster) restart(l *loadGenerator, number int) {
	GinkgoHelper()
	leaving := c.members[number]
	leaving.stop()
	var ended error
	Eventually(leaving.runResult).Should(Receive(&ended))
	leaving.runResult <- ended
	Expect(ended).NotTo(HaveOccurred())
	started := c.startMember(number, len(c.members))
	c.members = c.members[:len(c.members)-1]
	c.members[number] = started
	Eventually(started.Ready).Should(BeTrue())
	Eventually(started.acceptingEngineCount).Should(Equal(1))
	l.setMembers(c.members...)
}

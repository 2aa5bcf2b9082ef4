package daemon_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/settings"
)

const (
	modelCall   = `{"target":"model","name":"assess","messages":[{"role":"user","content":"turn %d"}],"max_tokens":20%s}`
	serviceCall = `{"target":"service","name":"ledger","operation":"flag","payload":"aGk=","not_repeatable":true}`
)

// createProgram creates a program through this daemon.
func (m *member) createProgram(key string) callerapi.CreateReply {
	GinkgoHelper()
	created := m.send("POST", "/v1/programs", fmt.Sprintf(`{"creation_key":%q}`, key))
	Expect(created.status).To(Equal(http.StatusCreated), created.body)
	var reply callerapi.CreateReply
	created.decode(&reply)
	return reply
}

var _ = Describe("a cluster of three daemons", Ordered, func() {
	var c *cluster

	BeforeAll(func() {
		c = newCluster(3)
		c.applyConfiguration()
	})

	It("serves a program through any daemon", func() {
		first := c.members[0].createProgram("one")
		for turn, member := range c.members {
			Expect(member.createProgram("one")).To(Equal(callerapi.CreateReply{Program: first.Program, Joined: true}))
			path := fmt.Sprintf("/v1/programs/%s/calls/%d", first.Program, turn+1)
			answered := member.send("POST", path, fmt.Sprintf(modelCall, turn, ""))
			Expect(answered.status).To(Equal(http.StatusOK), answered.body)
			for _, other := range c.members {
				Expect(other.send("GET", path, "").body).To(Equal(answered.body))
			}
		}
		var history callerapi.History
		c.members[2].send("GET", "/v1/programs/"+string(first.Program)+"/history", "").decode(&history)
		Expect(history.Messages).To(HaveLen(6))
	})

	It("runs a non-repeatable call once, whichever daemon receives it", func() {
		program := c.members[1].createProgram("two").Program
		path := fmt.Sprintf("/v1/programs/%s/calls/1", program)
		for _, member := range c.members {
			answered := member.send("POST", path, serviceCall)
			Expect(answered.status).To(Equal(http.StatusOK), answered.body)
		}
	})

	It("rejects an oversized header", func() {
		request, err := http.NewRequest("GET", "http://"+c.members[0].Addresses().Caller, nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Padding", strings.Repeat("x", 4*settings.Default().Limits.HeaderBytes))
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("streams in the OpenAI format", func() {
		for _, member := range c.members {
			streamed := member.send("POST", "/v1/chat/completions",
				`{"model":"assess","messages":[{"role":"user","content":"hi"}],"max_tokens":20,"stream":true}`)
			Expect(streamed.status).To(Equal(http.StatusOK), streamed.body)
			Expect(streamed.body).To(HaveSuffix("data: [DONE]"))
		}
	})

	It("keeps serving after a planned stop of one daemon", func() {
		program := c.members[0].createProgram("three").Program
		path := "/v1/programs/" + string(program) + "/calls/%d"
		Expect(c.members[0].send("POST", fmt.Sprintf(path, 1), fmt.Sprintf(modelCall, 1, "")).status).To(Equal(http.StatusOK))
		c.members[0].stop()
		var ended error
		Eventually(c.members[0].runResult).Should(Receive(&ended))
		c.members[0].runResult <- ended
		Expect(ended).NotTo(HaveOccurred())
		for turn, member := range c.members[1:] {
			Eventually(func() int {
				return member.send("POST", fmt.Sprintf(path, turn+2), fmt.Sprintf(modelCall, turn+2, "")).status
			}).Should(Equal(http.StatusOK))
		}
	})
})

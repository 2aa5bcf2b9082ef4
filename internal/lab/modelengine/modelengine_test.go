package modelengine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

func TestModelEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model engine")
}

var _ = Describe("Engine", func() {
	var (
		engine *modelengine.Engine
		base   string
	)
	// start serves an engine with the time scale; 0.01 is 100 times faster than the
	// modelled hardware.
	start := func(timeScale float64) {
		GinkgoHelper()
		engine = modelengine.New(modelengine.Options{
			Name: "e", Model: "m", Version: "1", TimeScale: timeScale, CacheTokens: 1600,
			ReportLag: time.Nanosecond, LoadTime: time.Second, DropEventInterval: 2,
		})
		DeferCleanup(engine.Close)
		server, err := standin.Start("127.0.0.1:0", engine)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		base = server.URL()
	}
	BeforeEach(func() { start(0.01) })

	send := func(method, path string, body any) *http.Response {
		encoded, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		request, err := http.NewRequest(method, base+path, bytes.NewReader(encoded))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		return response
	}
	// read reads a stream to its end and returns its text and its last chunk.
	read := func(response *http.Response) (content string, last enginev1.CompletionChunk) {
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			data, found := strings.CutPrefix(lines.Text(), "data: ")
			if !found || data == "[DONE]" {
				continue
			}
			last = enginev1.CompletionChunk{}
			Expect(json.Unmarshal([]byte(data), &last)).To(Succeed())
			for _, choice := range last.Choices {
				content += choice.Delta.Content
			}
		}
		return content, last
	}
	completion := func(program string, sequence int, messages ...enginev1.Message) enginev1.CompletionRequest {
		return enginev1.CompletionRequest{
			RequestID: fmt.Sprintf("%s/%d/1", program, sequence), Program: program, Model: "m",
			Messages: messages, MaxTokens: 64, Stream: true,
		}
	}
	say := func(text string) enginev1.Message { return enginev1.Message{Role: "user", Content: text} }
	complete := func(request enginev1.CompletionRequest) (string, enginev1.CompletionChunk) {
		return read(send(http.MethodPost, enginev1.PathCompletions, request))
	}

	It("runs a request ID once, and returns the same answer again and from an offset", func() {
		request := completion("p", 1, say("hello tokens=12"))
		first, last := complete(request)
		wanted, _ := modelengine.Answer("m", "", request.Messages, 64)
		Expect(first).To(Equal(wanted))
		Expect(last.Usage.CompletionTokens).To(Equal(int64(12)))
		again, _ := complete(request)
		Expect(again).To(Equal(first))
		rest, _ := read(send(http.MethodGet, enginev1.PathRequests+"p%2F1%2F1?offset=9", nil))
		Expect(rest).To(Equal(first[9:]))
		Expect(engine.Records().Requests).To(HaveLen(1))
	})

	It("finds the prefix of the next turn in the cache until the program is released", func() {
		opening := say(strings.Repeat("a long opening. ", 30))
		content, _ := complete(completion("p", 1, opening))
		turns := []enginev1.Message{opening, {Role: "assistant", Content: content}, say("and then?")}
		_, last := complete(completion("p", 2, turns...))
		Expect(last.Usage.CachedTokens).To(BeNumerically(">", 120))
		Expect(engine.Held()).To(ConsistOf(HaveField("Program", "p")))
		send(http.MethodPost, enginev1.PathRelease, enginev1.ReleaseRequest{Programs: []string{"p"}}).Body.Close()
		Expect(engine.Held()).To(BeEmpty())
		_, last = complete(completion("p", 3, turns...))
		Expect(last.Usage.CachedTokens).To(BeZero())
	})

	It("evicts the least recently used blocks, but none that a lease pins", func() {
		pinned, other := strings.Repeat("pinned words go", 70), strings.Repeat("other words stay", 70)
		complete(completion("pinned", 1, say(pinned)))
		send(http.MethodPost, enginev1.PathHold, enginev1.HoldRequest{Program: "pinned", LeaseMS: 60000}).Body.Close()
		for number := range 10 {
			complete(completion(fmt.Sprintf("other%d", number), 1, say(fmt.Sprint(number)+other)))
		}
		Expect(engine.Held()).To(ContainElement(HaveField("Program", "pinned")))
		Expect(engine.Held()).NotTo(ContainElement(HaveField("Program", "other0")))
		var page enginev1.CacheEvents
		response := send(http.MethodGet, enginev1.PathCacheEvents+"?after=0", nil)
		defer response.Body.Close()
		Expect(json.NewDecoder(response.Body).Decode(&page)).To(Succeed())
		Expect(page.Events).To(ContainElement(HaveField("Kind", "evicted")))
		Expect(page.Events).To(HaveEach(HaveField("Sequence", WithTransform(func(n uint64) uint64 { return n % 2 }, Equal(uint64(1))))))
	})

	It("cancels a stream at a held moment and tells what it generated", func() {
		// The hold rule stops the stream, not the engine, which generates its 64
		// tokens in 14 ms with the other specs' time scale and in 7 s with this one.
		const slowTimeScale = 5
		start(slowTimeScale)
		engine.Faults.Set([]standin.Rule{{Point: standin.PointStream, Match: "p/1", AfterChunks: 3, Action: standin.ActionHold}})
		ended := make(chan enginev1.CompletionChunk, 1)
		go func() {
			defer GinkgoRecover()
			_, last := complete(completion("p", 1, say("tokens=100000")))
			ended <- last
		}()
		Eventually(func() int { return engine.Faults.List().Rules[0].Holding }, time.Minute).Should(Equal(1))
		response := send(http.MethodDelete, enginev1.PathRequests+"p/1/1", nil)
		defer response.Body.Close()
		var status enginev1.RequestStatus
		Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
		Expect(status.State).To(Equal("cancelled"))
		engine.Faults.Set(nil)
		Eventually(ended, time.Minute).Should(Receive(HaveField("Error", "cancelled")))
		Expect(engine.Records().Requests[0].Generated).To(Equal(status.Usage.CompletionTokens))
	})

	It("refuses orders with a smaller fence, and refuses completions during a load", func() {
		start(1) // the load takes 1 s: longer than a busy machine delays the completion request
		order := func(fence uint64, kind, version string) int {
			response := send(http.MethodPost, enginev1.PathOrders, enginev1.Order{Fence: fence, Kind: kind, Model: "m", Version: version})
			response.Body.Close()
			return response.StatusCode
		}
		Expect(order(5, "claim", "")).To(Equal(http.StatusOK))
		Expect(order(4, "load", "2")).To(Equal(http.StatusConflict))
		Expect(order(6, "load", "2")).To(Equal(http.StatusOK))
		refused := send(http.MethodPost, enginev1.PathCompletions, completion("p", 1, say("hello")))
		refused.Body.Close()
		Expect(refused.Header.Get(enginev1.HeaderNeverStarted)).To(Equal("true"))
		Eventually(func() string {
			var state enginev1.EngineState
			response := send(http.MethodGet, enginev1.PathState, nil)
			defer response.Body.Close()
			Expect(json.NewDecoder(response.Body).Decode(&state)).To(Succeed())
			return state.Version
		}, time.Minute).Should(Equal("2"))
		_, last := complete(completion("p", 1, say("hello")))
		Expect(last.Usage).NotTo(BeNil())
	})
})

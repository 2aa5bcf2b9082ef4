package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/lab/platformengine"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/state"
)

const streamConfiguration = `{"version":1,"routes":[
 {"name":"stream","host":"a.example","path_prefix":"/stream/","type":"streaming","timeout_ms":20000,"target_latency_ms":200,"service":"llm","max_attempts":1}],
 "services":[{"name":"llm","engine":{"slots":12,"stride_tokens":9,"kv_capacity_tokens":100000}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// callersAddress returns the address of callers that the started process has logged.
func callersAddress(session *gexec.Session) string {
	for line := range strings.Lines(string(session.Out.Contents())) {
		var entry struct{ Msg, Callers string }
		if json.Unmarshal([]byte(line), &entry) == nil && strings.HasPrefix(entry.Msg, "server: started") {
			return entry.Callers
		}
	}
	return ""
}

// beginStream sends a request and returns the answer, whose body is still to be read.
func beginStream(ctx context.Context, address, protocol string) (*http.Response, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := connection.SetReadDeadline(time.Now().Add(platformengine.WaitTimeout)); err != nil {
		return nil, err
	}
	request := fmt.Sprintf("POST /stream/ %s\r\nHost: a.example\r\nRequest-Id: k1\r\nContent-Length: 1\r\n\r\nx", protocol)
	if _, err := io.WriteString(connection, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(connection), nil)
}

var _ = Describe("a gateway that is killed", func() {
	var binary, path string

	BeforeEach(func(ctx SpecContext) {
		var err error
		binary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
		path = GinkgoT().TempDir() + "/settings.yaml"
	})

	for name, framing := range map[string]platformengine.Framing{"its connection alone": platformengine.FramingConnection, "chunks": platformengine.FramingChunks} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			if protocol == "HTTP/1.1" && framing == platformengine.FramingChunks {
				continue // the missing last chunk shows that the answer is broken
			}
			// Guards against a stream that ends like a whole one because its gateway was killed.
			It(fmt.Sprintf("resets a stream that only the connection ends: %s, engine with %s", protocol, name), func(ctx SpecContext) {
				hold := make(chan struct{})
				DeferCleanup(func() { close(hold) })
				engine := platformengine.New("i-1", "llm", "one", "two")
				DeferCleanup(engine.Close)
				answer, _ := engine.Answer("k1", framing)
				cut := &platformengine.Cut{AfterBytes: len(answer) - len("0\r\n\r\n")}
				if framing == platformengine.FramingConnection {
					cut.AfterBytes = len(answer)
				}
				engine.SetBehaviour(func(*http.Request) platformengine.Behaviour {
					return platformengine.Behaviour{Framing: framing, Cut: cut, BlockStreamUntil: hold}
				})
				memory := memorystore.New()
				for _, put := range []state.Put{
					{Key: state.Key{Table: "op", Name: "config"}, Value: []byte(streamConfiguration)},
					{Key: state.Key{Table: "servers", Name: engine.ID}, Value: engine.RowValue("ready")},
				} {
					_, err := memory.Commit(ctx, state.Commit{Puts: []state.Put{put}})
					Expect(err).NotTo(HaveOccurred())
				}
				store := httptest.NewServer(&platformstore.Handler{Store: memory})
				DeferCleanup(store.CloseClientConnections)
				withStore := strings.Replace(settings, "127.0.0.1:1", store.Listener.Addr().String(), 1)
				Expect(os.WriteFile(path, []byte(withStore), 0o600)).To(Succeed())
				session := startGateway(binary, path)

				var response *http.Response
				Eventually(func(g Gomega) {
					address := callersAddress(session)
					g.Expect(address).NotTo(BeEmpty())
					opened, err := beginStream(ctx, address, protocol)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(opened.StatusCode).To(Equal(http.StatusOK))
					response = opened
				}).Should(Succeed())
				Expect(response.TransferEncoding).To(BeEmpty())
				Expect(response.ContentLength).To(BeEquivalentTo(-1))
				received := make([]byte, len(engine.Body()))
				_, err := io.ReadFull(response.Body, received)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(received)).To(Equal(engine.Body()))

				session.Kill().Wait()
				_, err = response.Body.Read(make([]byte, 1))
				Expect(err).To(MatchError(syscall.ECONNRESET))
			})
		}
	}
})

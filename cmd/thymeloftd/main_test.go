package main_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
)

// eventuallyTimeout is the default timeout of Eventually.
const eventuallyTimeout = time.Minute

func TestThymeloftd(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	RunSpecs(t, "thymeloftd")
}

var _ = Describe("thymeloftd", Ordered, func() {
	var binary string

	BeforeAll(func() {
		var err error
		binary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloftd")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	start := func(arguments ...string) *gexec.Session {
		GinkgoHelper()
		session, err := gexec.Start(exec.Command(binary, arguments...), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { session.Kill().Wait() })
		return session
	}
	store := httptest.NewServer(platformstore.New(platformstore.Options{}))
	AfterAll(store.Close)
	singleDaemonFlags := []string{
		"--machine=m1", "--zone=z1", "--region=r1", "--shards=2", "--bootstrap-expect=1",
		"--platform-store=" + strings.TrimPrefix(store.URL, "http://"),
		"--listen-caller=127.0.0.1:0", "--listen-operator=127.0.0.1:0", "--listen-peer=127.0.0.1:0", "--listen-metrics=127.0.0.1:0",
	}

	It("reports all faults of its settings and does not start", func() {
		session := start("--machine=M 1", "--shards=0")
		Eventually(session).Should(gexec.Exit(2))
		Expect(string(session.Err.Contents())).To(And(
			ContainSubstring("machine:"), ContainSubstring("zone: missing"), ContainSubstring("shards: 0")))
	})

	It("logs its addresses, becomes ready, and exits with 0 after a drain", func() {
		session := start(singleDaemonFlags...)
		Eventually(session.Err).Should(gbytes.Say(`daemon: ready\.`))
		metrics := listenerAddress(session, "metrics")
		for path, expected := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 200, "/other": 404} {
			response, err := http.Get("http://" + metrics + path)
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			Expect(response.StatusCode).To(Equal(expected), path)
		}
		session.Signal(syscall.SIGTERM)
		Eventually(session).Should(gexec.Exit(0))
		Expect(session.Err).To(gbytes.Say(`daemon: drained\.`))
	})

	It("exits at once on a second signal", func() {
		session := start(singleDaemonFlags...)
		Eventually(session.Err).Should(gbytes.Say(`daemon: ready\.`))
		// A request with an unfinished header delays the drain.
		connection, err := net.Dial("tcp", listenerAddress(session, "caller"))
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, err = connection.Write([]byte("GET / HTTP/1.1\r\n"))
		Expect(err).NotTo(HaveOccurred())
		session.Signal(syscall.SIGTERM)
		Eventually(session.Err).Should(gbytes.Say(`daemon: draining\.`))
		session.Signal(syscall.SIGTERM)
		Eventually(session).Should(gexec.Exit(1))
		Expect(session.Err).To(gbytes.Say("second signal"))
	})
})

// listenerAddress returns the address of a listener. It reads it from the
// session's log line "daemon: ready.".
func listenerAddress(session *gexec.Session, name string) string {
	GinkgoHelper()
	for line := range strings.SplitSeq(string(session.Err.Contents()), "\n") {
		var entry map[string]any
		if json.Unmarshal([]byte(line), &entry) == nil && entry["msg"] == "daemon: ready." {
			return entry[name].(string)
		}
	}
	Fail("the daemon did not log that it is ready")
	return ""
}

package main_test

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

func TestThymeloftGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "thymeloft-gateway")
}

const settings = `machine: "m1"
zone: "z"
listen:
  callers: "127.0.0.1:0"
  ready: "127.0.0.1:0"
  peers: "127.0.0.1:0"
store:
  address: "127.0.0.1:1"
  row_bytes: 65536
grace_seconds: 8
drain_millis: 2000
`

// startGateway starts the binary with the settings file, and kills the process after the test.
func startGateway(binary, path string) *gexec.Session {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(binary, "--settings", path), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait() })
	return session
}

var _ = Describe("thymeloft-gateway", func() {
	var binary, path string

	BeforeEach(func() {
		var err error
		binary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
		path = filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	})

	start := func() *gexec.Session { return startGateway(binary, path) }

	// Guards against a SIGHUP that ends a process which has just been started.
	It("starts although it gets a SIGHUP while it reads its settings", func() {
		Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
		session := start()

		pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process opens the file
		Expect(err).NotTo(HaveOccurred())
		session.Signal(syscall.SIGHUP)
		_, err = pipe.WriteString(settings)
		Expect(err).NotTo(HaveOccurred())
		Expect(pipe.Close()).To(Succeed())
		Eventually(session).Should(gbytes.Say("server: started"))
	})

	// Guards against SIGHUPs without effect in a process that was started while they were ignored.
	It("reloads its settings on a SIGHUP although it was started with SIGHUP ignored", func() {
		Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
		signal.Ignore(syscall.SIGHUP)
		DeferCleanup(func() { signal.Reset(syscall.SIGHUP) })
		session := start()

		Eventually(session).Should(gbytes.Say("server: started"))
		session.Signal(syscall.SIGHUP)
		Eventually(session).Should(gbytes.Say("server: settings reloaded"))
	})
})

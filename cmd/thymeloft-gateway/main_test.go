package main_test

import (
	"os"
	"os/exec"
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

var _ = Describe("thymeloft-gateway", func() {
	// Guards against a SIGHUP that ends a process which has just been started.
	It("starts although it gets a SIGHUP while it reads its settings", func() {
		binary, err := gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloft-gateway")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
		session, err := gexec.Start(exec.Command(binary, "--settings", path), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { session.Kill().Wait() })

		pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process opens the file
		Expect(err).NotTo(HaveOccurred())
		session.Signal(syscall.SIGHUP)
		_, err = pipe.WriteString(settings)
		Expect(err).NotTo(HaveOccurred())
		Expect(pipe.Close()).To(Succeed())
		Eventually(session).Should(gbytes.Say("server: started"))
	})
})

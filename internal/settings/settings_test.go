package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func writeSettingsFile(content string) string {
	GinkgoHelper()
	name := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(name, []byte(content), 0o600)).To(Succeed())
	return name
}

const validSettingsFile = `
machine: m1
zone: leith-a
region: scot-central
listen: {caller: "127.0.0.1:0", peer: "0.0.0.0:7000"}
advertise: 10.0.0.1:7000
operator_key_hashes: ["ops:abababababababababababababababababababababababababababababababab"]
platform: {store: "10.0.0.9:9000"}
retries: {burst: 7}
`

var _ = Describe("settings", func() {
	It("come from defaults, file and flags in increasing precedence", func() {
		loaded, err := settings.Load([]string{"--settings", writeSettingsFile(validSettingsFile), "--zone", "leith-b", "--commit-timeout=2s"}, "v0", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Machine).To(Equal("m1"))
		Expect(loaded.Zone).To(Equal("leith-b"))
		Expect(loaded.OperatorKeyHashes).To(Equal([]string{"ops:abababababababababababababababababababababababababababababababab"}))
		Expect(loaded.Retries.Burst).To(Equal(7))
		Expect(loaded.CommitTimeout).To(Equal(2 * time.Second))
		Expect(loaded.Shards).To(BeEquivalentTo(16))
		Expect(loaded.Listen.Metrics).To(Equal(settings.Default().Listen.Metrics))
	})

	It("report all faults at once", func() {
		_, err := settings.Load([]string{
			"--zone=Leith A", "--listen-peer=0.0.0.0:1", "--listen-caller=localhost:1", "--bootstrap-expect=0", "--shards=0",
			"--platform-store=ftp://x", "--platform-machines=ftp://x", "--operator-key-hashes=abc", "--tls-peer-key=/nowhere", "--log-level=loud", "--limits-body-bytes=0",
			"--commit-timeout=0s", "--scheduling-stale-after=3s", "--scheduling-waste-weight=NaN", "--scheduling-working-set=2",
			"--scheduling-waiting=0", "--retries-share=-1", "--engines-eject-share=0", "--engines-report-too-old=1s", "--engines-idle-stream=0s",
		}, "v0", GinkgoWriter)
		var faults settings.ValidationError
		Expect(err).To(BeAssignableToTypeOf(faults))
		for _, key := range []string{
			"machine", "zone", "region", "advertise", "listen.caller", "bootstrap_expect", "shards", "platform.store", "platform.machines",
			"operator_key_hashes[0]", "tls.peer", "tls.peer.key", "log.level", "limits.body_bytes", "commit_timeout",
			"scheduling.stale_after", "scheduling.waste_weight", "scheduling.working_set", "scheduling.waiting", "retries.share",
			"engines.eject_share", "engines.report_too_old", "engines.idle_stream",
		} {
			Expect(err.Error()).To(ContainSubstring("\n  "+key+":"), key)
		}
	})

	It("reject unknown fields with their position", func() {
		_, err := settings.Load([]string{"--settings", writeSettingsFile("machine: m1\ncolour: red\n")}, "v0", GinkgoWriter)
		Expect(err).To(MatchError(And(ContainSubstring("colour"), ContainSubstring("[2:1]"))))
	})

	It("are not loaded for --version, which prints the version", func() {
		var output bytes.Buffer
		_, err := settings.Load([]string{"--version"}, "v9", &output)
		Expect(err).To(MatchError(settings.ErrVersionPrinted))
		Expect(output.String()).To(Equal("v9\n"))
	})
})

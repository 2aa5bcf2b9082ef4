package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "server")
}

const validSettings = `machine: "m1"
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

func writeSettings(content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("LoadSettings", func() {
	It("reads settings", func() {
		settings, err := LoadSettings(writeSettings(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.gracePeriod()).To(Equal(8 * time.Second))
		Expect(settings.drainPeriod()).To(Equal(2 * time.Second))
	})

	DescribeTable("bounds how long a silent feed of the configuration is believed",
		func(contact float64, expected time.Duration) {
			settings := Settings{ContactMillis: contact}
			Expect(settings.configurationFeedTimeout()).To(Equal(expected))
			Expect(settings.maxConfigurationAge()).To(Equal(expected + feedAnswerTime))
		},
		Entry("below contact_millis", 3000.0, 1200*time.Millisecond),
		Entry("below a longer contact_millis", 4000.0, 2200*time.Millisecond),
		Entry("by the minimum without contact_millis", 0.0, minConfigurationWait),
		Entry("by the maximum for a very long contact_millis", 60000.0, maxConfigurationWait),
	)

	It("reports all invalid settings at once, with the name of the file", func() {
		path := writeSettings("machine: \"\"\nmemory_mb: -1\n")
		_, err := LoadSettings(path)
		Expect(err).To(MatchError(And(ContainSubstring(path), ContainSubstring("machine: missing"),
			ContainSubstring("listen.callers: missing, expected IP:PORT"), ContainSubstring("memory_mb: expected a number, 0 or above"))))
	})

	It("reads the store's rates, which are optional and must not be negative", func() {
		settings, err := LoadSettings(writeSettings(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Store.rates()).To(Equal(state.Rates{}))
		declared := strings.Replace(validSettings, "  row_bytes: 65536\n", "  row_bytes: 65536\n  writes_per_second: 800\n  reads_per_second: 2000\n", 1)
		settings, err = LoadSettings(writeSettings(declared))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Store.rates()).To(Equal(state.Rates{Writes: 800, Reads: 2000}))
		_, err = LoadSettings(writeSettings(strings.Replace(declared, "2000", "-1", 1)))
		Expect(err).To(MatchError(ContainSubstring("store.reads_per_second: expected a number, 0 or above")))
		_, err = LoadSettings(writeSettings(strings.Replace(declared, "800", "-1", 1)))
		Expect(err).To(MatchError(ContainSubstring("store.writes_per_second: expected a number, 0 or above")))
	})

	It("accepts only known mechanisms as disabled", func() {
		settings, err := LoadSettings(writeSettings(validSettings + "disabled: [trails, zone-cost]\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Disabled.Has(mechanism.TurnLocations)).To(BeTrue())
		_, err = LoadSettings(writeSettings(validSettings + "disabled: [trials]\n"))
		Expect(err).To(MatchError(ContainSubstring(`disabled: unknown mechanism "trials"`)))
	})

	It("reports the position and the name of an unknown field", func() {
		_, err := LoadSettings(writeSettings(validSettings + "grace: 9\n"))
		Expect(err).To(MatchError(And(ContainSubstring("[12:1]"), ContainSubstring("grace"))))
	})
})

var _ = Describe("SettingsReloader", func() {
	It("applies a changed file, names settings that need a restart, and ignores an invalid file", func() {
		path := writeSettings(validSettings)
		settings, err := LoadSettings(path)
		Expect(err).NotTo(HaveOccurred())
		core, logs := observer.New(zap.InfoLevel)
		var applied []Settings
		reloader := NewSettingsReloader(path, settings, func(next Settings) { applied = append(applied, next) }, zap.New(core))

		changed := strings.Replace(strings.Replace(validSettings, "grace_seconds: 8", "grace_seconds: 5", 1), `zone: "z"`, `zone: "y"`, 1)
		Expect(os.WriteFile(path, []byte(changed), 0o600)).To(Succeed())
		reloader.Reload()
		Expect(applied).To(HaveLen(1))
		Expect(applied[0].gracePeriod()).To(Equal(5 * time.Second))
		Expect(logs.TakeAll()[0].ContextMap()["untilNextStart"]).To(Equal([]any{"zone"}))

		Expect(os.WriteFile(path, []byte("machine: {"), 0o600)).To(Succeed())
		reloader.Reload()
		Expect(applied).To(HaveLen(1))
		Expect(logs.TakeAll()[0].Message).To(ContainSubstring("the previous settings stay in force"))
	})
})

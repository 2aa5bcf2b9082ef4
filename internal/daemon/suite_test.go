package daemon_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventuallyTimeout is the default timeout of Eventually.
const eventuallyTimeout = time.Minute

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "daemon")
}

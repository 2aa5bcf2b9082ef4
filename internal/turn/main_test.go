package turn_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain sets the seed of the property tests to 1, unless RAPID_SEED gives another one.
func TestMain(m *testing.M) {
	if os.Getenv("RAPID_SEED") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestTurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "turn")
}

package ingress

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless RAPID_SEED is set.
func TestMain(m *testing.M) {
	if os.Getenv("RAPID_SEED") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package configuration_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the property tests with a fixed seed if the environment variable
// RAPID_SEED is not set.
func TestMain(m *testing.M) {
	if os.Getenv("RAPID_SEED") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

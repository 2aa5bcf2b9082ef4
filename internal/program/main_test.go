package program_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests. The command line can
// override it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

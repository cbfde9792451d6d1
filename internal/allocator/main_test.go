package allocator

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

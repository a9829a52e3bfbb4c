package node_test

import (
	"fmt"
	"os"
	"testing"

	"redwinghall/kernel"
)

// TestMain fails if a part panicked in any test: the node that runs it goes on, and the test may pass.
func TestMain(m *testing.M) {
	code := m.Run()
	if n := kernel.Panics(); n != 0 {
		_, _ = fmt.Fprintln(os.Stderr, "parts panicked:", n)
		code = 1
	}
	os.Exit(code)
}

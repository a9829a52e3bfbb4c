package formation_test

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"redwinghall/kernel"
)

// expectedPanics counts the panics that tests provoke.
var expectedPanics atomic.Int64

// TestMain fails if a part panicked in any test: the group that runs it goes on, and the test may pass.
func TestMain(m *testing.M) {
	code := m.Run()
	if n := kernel.Panics() - expectedPanics.Load(); n != 0 {
		_, _ = fmt.Fprintln(os.Stderr, "parts panicked other than expected:", n)
		code = 1
	}
	os.Exit(code)
}

// Package fixedseed makes property tests generate the same cases in each run, so
// that results of CI are reproducible. `make explore` sets RWH_EXPLORE to generate
// new cases.
package fixedseed

import (
	"flag"
	"os"

	// Imported so that its flags are registered before init below sets one.
	_ "pgregory.net/rapid"
)

// exploreVariable names the environment variable that, when set, leaves rapid's
// seed random.
const exploreVariable = "RWH_EXPLORE"

// Explore reports whether tests should try new cases.
func Explore() bool { return os.Getenv(exploreVariable) != "" }

func init() {
	if !Explore() {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err) // this version of rapid does not have the flag
		}
	}
}

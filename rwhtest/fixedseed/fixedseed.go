// Package fixedseed makes property tests draw the same cases in each run, so
// that CI gives the same verdict every time. `make explore` sets RWH_EXPLORE
// and draws new ones.
package fixedseed

import (
	"flag"
	"os"

	// Imported so that its flags exist before init below sets one.
	_ "pgregory.net/rapid"
)

// exploreVariable, when set, keeps rapid's own random seed.
const exploreVariable = "RWH_EXPLORE"

func init() {
	if os.Getenv(exploreVariable) == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err) // rapid no longer has this flag
		}
	}
}

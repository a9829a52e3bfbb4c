package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/fleet"
)

// Guards against nodes that skip their reader for seconds after the store's return, because they asked it while nobody
// reached the store.
func TestReadersReturnIsNoticedAtTheNextRead(t *testing.T) {
	for _, reads := range []int{1, 3, 10, 40} {
		t.Run(fmt.Sprint(reads), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sources, stores := zone(eight...)
				readAll(t, sources)
				at := fleet.Position{Version: 5}
				for _, s := range stores {
					s.down = true
				}
				for range reads {
					for _, name := range append([]string{"n4"}, eight...) {
						_, _ = sources[name].Changes(context.Background(), "t", at, 0) // a copy that is still fresh may answer
					}
					time.Sleep(150 * time.Millisecond)
				}
				stores["n4"].down = false
				stores["n4"].rows = listAt(6, row("b", 6))
				_, err := sources["n4"].Changes(context.Background(), "t", at, 0)
				require.NoError(t, err)
				for _, name := range eight {
					if name == "n4" {
						continue
					}
					rows, err := sources[name].Changes(context.Background(), "t", at, 0)
					require.NoError(t, err, name)
					require.Equal(t, []string{"b"}, keys(rows.Rows), name)
				}
			})
		})
	}
}

// Guards against a node whose reader doesn't reach the store and that finds no other one that does.
func TestNodeFindsAnotherOneIfItsReaderLacksTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, sources, stores := zone(eight...)
		readAll(t, sources)
		at := fleet.Position{Version: 5}
		for name, s := range stores {
			s.down = name != "n7"
		}
		for range 20 {
			for _, name := range eight {
				_, _ = sources[name].Changes(context.Background(), "t", at, 0) // the first ones fail
			}
			time.Sleep(150 * time.Millisecond)
		}
		for _, name := range eight {
			_, err := sources[name].Changes(context.Background(), "t", at, 0)
			require.Empty(t, redwinghall.KindOf[fleet.StoreKind](err), name)
		}
	})
}

package node_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// changeBound is how soon a change of operators is in force.
const changeBound = 4 * time.Second

// The settings file named another address of the store, and the node went on reading the former one: a key that had been withdrawn since
// worked until the node was started again.
func TestStoreIsReadAtTheAddressOfTheSettingsFile(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitServing()
	moved := platformtest.NewStore()
	t.Cleanup(moved.Close)
	moved.Restore(d.store.Snapshot())
	require.NoError(t, moved.PutConfiguration(platformtest.Configuration(2, "key-2")))
	settings := d.settings
	settings.StoreAddress = moved.Address()
	require.NoError(t, os.WriteFile(d.path, []byte(settings.Text()), 0o600))
	require.Eventually(t, func() bool { return !d.accepts("key-1", "look-1") }, changeBound, 50*time.Millisecond)
	require.True(t, d.accepts("key-2", "look-2"))
}

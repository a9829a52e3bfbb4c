package node

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// reloadInterval is how often the settings file is reread, as it may change
// without a signal.
const reloadInterval = 3 * time.Second

// currentSettings returns the settings in effect. Changes to addresses of this node take no
// effect until a restart, as the listeners are already open.
func (n *Node) currentSettings() fleet.Settings { return *n.current.Load() }

// startReload reloads the settings now, on SIGHUP and every reloadInterval. They may have changed, and
// SIGHUP may have come, since the program read them.
func (n *Node) startReload(g *kernel.Group) {
	if n.path == "" {
		return
	}
	g.Keep("reload", func(ctx context.Context) error {
		hangUp := make(chan os.Signal, 1)
		signal.Notify(hangUp, syscall.SIGHUP)
		defer signal.Stop(hangUp)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		n.reload()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangUp:
				klog.InfoS("reload_asked", "path", n.path)
				n.reload()
			case <-ticker.C:
				n.reload()
			}
		}
	})
}

// reload applies changed settings. An invalid file is logged and changes nothing.
func (n *Node) reload() {
	if n.path == "" {
		return
	}
	next, err := platform.LoadSettings(n.path)
	if err != nil {
		klog.ErrorS(err, "settings_not_reloaded", "path", n.path)
		return
	}
	if reflect.DeepEqual(next, n.currentSettings()) {
		return
	}
	klog.InfoS("settings_reloaded", "path", n.path, "bounds", next.Bounds)
	n.current.Store(&next)
	n.store.Move(next.StoreAddress)
}

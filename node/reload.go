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

// reloadInterval is how often the settings file is read again: it may change
// without a signal.
const reloadInterval = 3 * time.Second

// inForce returns the settings in force. Addresses stay as they were at the
// start: the listeners are open.
func (n *Node) inForce() fleet.Settings { return *n.current.Load() }

// startReload reads the settings again on SIGHUP and now and then.
func (n *Node) startReload(g *kernel.Group) {
	if n.path == "" {
		return
	}
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	g.Go("reload", func(ctx context.Context) error {
		defer signal.Stop(hangUp)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
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

// reload puts changed settings in force. A file that can't be used changes nothing.
func (n *Node) reload() {
	if n.path == "" {
		return
	}
	next, err := platform.LoadSettings(n.path)
	if err != nil {
		klog.ErrorS(err, "settings_not_reloaded", "path", n.path)
		return
	}
	if reflect.DeepEqual(next, n.inForce()) {
		return
	}
	klog.InfoS("settings_reloaded", "path", n.path, "bounds", next.Bounds)
	n.current.Store(&next)
}

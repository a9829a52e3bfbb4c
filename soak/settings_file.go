package soak

import (
	"context"
	"os"
	"time"

	"redwinghall/kernel"
)

const (
	settingsMode = 0o600
	// overwriteTime bounds for how long a file that is written in place is incomplete.
	overwriteTime = 30 // milliseconds
	// settledTime is longer than a started node takes to read its settings.
	settledTime = 3 * time.Second
)

// changeSettings changes the settings of a node and returns their text.
func (d *deployment) changeSettings(n *nodeProcess) string {
	memory := 280 + d.randomInt(10)
	d.mu.Lock()
	defer d.mu.Unlock()
	n.settings.MemoryMB = memory
	return n.settings.Text()
}

// replaceSettings replaces the settings file of a node as a whole.
func (d *deployment) replaceSettings(n *nodeProcess) error {
	n.settingsFile.Lock()
	defer n.settingsFile.Unlock()
	d.recordFault("the settings of %s are replaced", n.settings.Node)
	next := n.path + ".next"
	if err := os.WriteFile(next, []byte(d.changeSettings(n)), settingsMode); err != nil {
		return err
	}
	return os.Rename(next, n.path)
}

// overwriteSettings truncates the settings file of a node, writes a part of it, sends
// SIGHUP, and then writes it whole. A node that started lately may not have read the file
// yet, so that its file is replaced instead.
func (d *deployment) overwriteSettings(ctx context.Context, n *nodeProcess) error {
	if l := d.lifetimeOf(n); !l.running() || time.Since(l.startedAt) < settledTime {
		return d.replaceSettings(n)
	}
	n.settingsFile.Lock()
	defer n.settingsFile.Unlock()
	text := d.changeSettings(n)
	part := text[:d.randomInt(len(text))]
	d.recordFault("the settings of %s are overwritten, first with %d of %d bytes", n.settings.Node, len(part), len(text))
	if err := os.WriteFile(n.path, []byte(part), settingsMode); err != nil {
		return err
	}
	d.hangUp(n)
	kernel.Sleep(ctx, d.randomTime(0, overwriteTime))
	return os.WriteFile(n.path, []byte(text), settingsMode)
}

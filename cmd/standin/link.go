package main

import (
	"time"

	"redwinghall/kernel"
	"redwinghall/standin/link"
)

const linkHelp = `Forwards TCP connections. Can delay or silently drop data, or cut connections.

Example:
  standin link --listen 127.0.0.1:21900 --target 127.0.0.1:21000 --delay 2ms`

type linkCommand struct {
	app    *app
	Listen string        `long:"listen" required:"yes" description:"where to listen" value-name:"IP:PORT"`
	Target string        `long:"target" required:"yes" description:"where to forward to" value-name:"IP:PORT"`
	Mode   string        `long:"mode" choice:"pass" choice:"cut" choice:"swallow" default:"pass" description:"what to do with connections"`
	Delay  time.Duration `long:"delay" description:"added to each read" default:"0s"`
}

// Execute implements flags.Commander.
func (c *linkCommand) Execute([]string) error {
	g := kernel.NewGroup(c.app.ctx)
	l, err := link.New(g, c.Listen, c.Target)
	if err != nil {
		return err
	}
	l.Set(link.Mode(c.Mode), c.Delay)
	return g.Wait()
}

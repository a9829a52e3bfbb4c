package main

import (
	"errors"
	"fmt"
	"time"

	"redwinghall/standin/load"
)

const loadHelp = `Sends chat completions from a number of workers and checks that every response is complete
and equal to the expected one.

Example:
  standin load --router 127.0.0.1:21100 --key demo-key-drivers --model chain-advice --requests 500`

type loadCommand struct {
	app      *app
	Routers  []string      `long:"router" required:"yes" description:"a router's caller listener; may be repeated" value-name:"IP:PORT"`
	Key      string        `long:"key" required:"yes" description:"API key of a demo client account"`
	Model    string        `long:"model" required:"yes" description:"model ID"`
	Requests int           `long:"requests" default:"100" description:"number of requests"`
	Workers  int           `long:"workers" default:"8" description:"number of concurrent requests"`
	Tokens   int           `long:"tokens" default:"32" description:"chunks in each response"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"timeout of one request"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	result := load.Run(c.app.ctx, load.Config{
		Routers: c.Routers, Key: c.Key, Model: c.Model, Requests: c.Requests,
		Workers: c.Workers, Tokens: c.Tokens, Timeout: c.Timeout,
	})
	_, _ = fmt.Fprintln(c.app.out, result)
	if result.Correct != c.Requests {
		return errors.New("some responses were refused, incomplete or wrong")
	}
	return nil
}

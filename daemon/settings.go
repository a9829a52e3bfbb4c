// Package daemon implements the router and controller programs: it reads their settings
// and tokens, sets up logging and signal handling, and connects their components.
package daemon

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"redwinghall"
	"redwinghall/peer"
	"redwinghall/strictjson"
)

// Token is the source of a secret: a file or an environment variable. Secrets are never
// passed on the command line.
type Token struct {
	File string `json:"file"`
	Env  string `json:"env"`
}

const minTokenLength = 16

// Read returns the secret.
func (t Token) Read() (string, error) {
	text := os.Getenv(t.Env)
	if t.File != "" {
		data, err := os.ReadFile(t.File)
		if err != nil {
			return "", err
		}
		text = string(data)
	}
	text = strings.TrimSpace(text)
	if len(text) < minTokenLength {
		return "", fmt.Errorf("want a token of at least %d characters, got %d", minTokenLength, len(text))
	}
	return text, nil
}

func (t Token) validate(path string) redwinghall.Faults {
	var f redwinghall.Faults
	if (t.File == "") == (t.Env == "") {
		return f.With(path, "want exactly one of file and env")
	}
	if _, err := t.Read(); err != nil {
		return f.With(path, "the token cannot be read: %v", err)
	}
	return f
}

// Common holds the settings that the router and the controller have in common.
type Common struct {
	ID               string               `json:"id"`
	AvailabilityZone string               `json:"availability_zone"`
	PeerAddress      string               `json:"peer_address"`
	PlatformAddress  string               `json:"platform_address"`
	Peers            []peer.Member        `json:"peers"`
	PeerToken        Token                `json:"peer_token"`
	ExchangeInterval redwinghall.Duration `json:"exchange_interval"`
	HeadInterval     redwinghall.Duration `json:"head_interval"`
	AliveBound       redwinghall.Duration `json:"alive_bound"`
}

func (c Common) withDefaults() Common {
	c.ExchangeInterval = orDefault(c.ExchangeInterval, time.Second)
	c.HeadInterval = orDefault(c.HeadInterval, time.Second)
	c.AliveBound = orDefault(c.AliveBound, 3*time.Second)
	return c
}

func orDefault(d redwinghall.Duration, fallback time.Duration) redwinghall.Duration {
	if d == 0 {
		return redwinghall.Duration(fallback)
	}
	return d
}

func (c Common) validate() redwinghall.Faults {
	var f redwinghall.Faults
	f = f.Identifier("id", c.ID)
	f = f.Identifier("availability_zone", c.AvailabilityZone)
	f = append(f, validateAddress("peer_address", c.PeerAddress)...)
	f = append(f, validateAddress("platform_address", c.PlatformAddress)...)
	f = append(f, c.PeerToken.validate("peer_token")...)
	f = f.DurationBetween("exchange_interval", c.ExchangeInterval, 20*time.Millisecond, time.Minute)
	f = f.DurationBetween("head_interval", c.HeadInterval, 20*time.Millisecond, time.Minute)
	f = f.DurationBetween("alive_bound", c.AliveBound, 100*time.Millisecond, time.Minute)
	for i, p := range c.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		f = f.Identifier(path+".id", p.ID)
		f = f.Identifier(path+".availability_zone", p.AvailabilityZone)
		f = append(f, validateAddress(path+".address", p.Address)...)
		if p.Program != peer.Router && p.Program != peer.Controller {
			f = f.With(path+".program", "want \"router\" or \"controller\", got %q", p.Program)
		}
	}
	return f
}

// validateAddress checks that the address consists of an IP address and a port.
// Processes connect to each other by IP address, without DNS.
func validateAddress(path, address string) redwinghall.Faults {
	var f redwinghall.Faults
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		return f.With(path, "want IP:PORT, got %q", address)
	}
	return f
}

// settings is implemented by the settings types of the daemons.
type settings interface {
	Validate() redwinghall.Faults
}

// load reads a settings file with strictjson, sets the defaults and validates the
// result.
func load[S settings](path string, withDefaults func(S) S) (S, error) {
	var out S
	data, err := os.ReadFile(path)
	if err != nil {
		return out, err
	}
	var f redwinghall.Faults
	for _, problem := range strictjson.Decode(data, &out) {
		f = f.With(problem.Path, "%s", problem.Message)
	}
	if len(f) > 0 {
		return out, f.Sorted()
	}
	out = withDefaults(out)
	return out, out.Validate().Err()
}

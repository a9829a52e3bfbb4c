// Command rig2 plays the cases of the second review that can't be put as a day of the bench: it starts nodes as the
// deploy file says, beside stand-ins of the platform's store, of workers and of clients, all on loopback addresses.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// errCase is the cause of a case that couldn't run.
var errCase = errors.New("the case couldn't run")

// play is what a case works with.
type play struct {
	*record
	trouble            bool
	repository, folder string
	net                string // the first three parts of the addresses
	store              *store
	zones              []string
	nodes              []*node
	workers            []*worker
}

var cases = map[string]func(ctx context.Context, p *play) (int, error){
	"other-part":  otherPart,
	"last-route":  lastRoute,
	"half-answer": halfAnswer,
	"held-bytes":  heldBytes,
	"last-tenant": lastTenant,
}

func main() {
	runtime.LockOSThread() // the nodes end with the thread that started them
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, repository, recordPath string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	p := &play{
		record: rec, trouble: os.Getenv("TROUBLE") != "0", repository: repository, folder: folder, store: newStore(),
		zones: []string{"tallinn", "tartu", "parnu"},
	}
	defer func() {
		for _, n := range p.nodes {
			n.kill()
		}
		if keep := os.Getenv("RIG_LOGS"); keep != "" {
			logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
			for _, path := range logs {
				if text, err := os.ReadFile(path); err == nil {
					_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), text, 0o600)
				}
			}
		}
	}()
	if p.net, err = freeNet(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	p.line("case %s, trouble %t", name, p.trouble)
	result, err := cases[name](ctx, p)
	if err != nil {
		p.line("%s", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	p.line("result %d", result)
	return result
}

// freeNet returns a part of the loopback range in which the ports of nodes are free.
func freeNet() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", prefix+".1:9464")
		if err == nil {
			_ = listener.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback addresses", errCase)
}

// address returns an address of the play.
func (p *play) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", p.net, last, port) }

// startNodes starts one node in each zone.
func (p *play) startNodes(ctx context.Context, storeAddress string) error {
	for i, zone := range p.zones {
		n := newNode(p.folder, "front-"+zone+"-1", zone, fmt.Sprintf("%s.%d", p.net, i+1))
		if err := n.writeSettings(n.settingsText(p.zones, storeAddress, true)); err != nil {
			return err
		}
		if err := n.start(p.repository); err != nil {
			return err
		}
		p.nodes = append(p.nodes, n)
		p.line("node      %s started", n.name)
	}
	for _, n := range p.nodes {
		if !p.await(ctx, 15*time.Second, func() bool { return n.isReady(ctx) }) {
			return fmt.Errorf("%w: %s isn't ready", errCase, n.name)
		}
	}
	return nil
}

// startWorkers starts a worker of a service in each zone.
func (p *play) startWorkers(service string) error { return p.startWorkersAt(service, 8120) }

// startLinkedWorkers starts the same behind links: they listen at another port than the one that they register.
func (p *play) startLinkedWorkers(service string) error { return p.startWorkersAt(service, 8121) }

func (p *play) startWorkersAt(service string, port int) error {
	for i, zone := range p.zones {
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		w, err := startWorker(p.store, p.record, id, service, zone, p.address(100+i, port), p.address(100+i, 8120))
		if err != nil {
			return err
		}
		p.workers = append(p.workers, w)
		p.line("worker    %s of %s in %s", id, service, zone)
	}
	return nil
}

func (p *play) await(ctx context.Context, most time.Duration, is func() bool) bool {
	for begun := time.Now(); time.Since(begun) < most && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}

// Command rig3 runs the cases of the review that are scripts. It is built by review/build-2.sh with the standard library only.
//
// Usage: rig3 CASE FOLDER. TROUBLE=0 leaves the disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case
// couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Rig is what a case has.
type Rig struct {
	Record  *Record
	Folder  string // temporary, for settings and logs
	Program string
	Trouble bool
	Store   *Store
	Runs    *Runs
	// network is the beginning of the nodes' addresses, all of them loopback addresses.
	network string
	nodes   []*Node
	workers []*Worker
}

// StartNodes starts a node in each zone, each at an address of its own, and waits until they are ready and in touch.
func (r *Rig) StartNodes(zones ...string) error {
	for i, zone := range zones {
		n, err := StartNode(r.Folder, r.Program, "front-"+zone+"-1", zone, zones, fmt.Sprintf("%s%d", r.network, i+1), r.Store.Address())
		if n != nil {
			r.nodes = append(r.nodes, n)
		}
		if err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.Await(startTime); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + time.Second)
	return nil
}

// Node returns one of the nodes, in turn.
func (r *Rig) Node(i int) *Node { return r.nodes[i%len(r.nodes)] }

// StartWorker starts a worker.
func (r *Rig) StartWorker(id, service, zone string) (*Worker, error) {
	w, err := StartWorker(r.Store, r.Record, r.Runs, "127.0.0.1", id, service, zone)
	if w != nil {
		r.workers = append(r.workers, w)
	}
	return w, err
}

func (r *Rig) end() {
	for _, n := range r.nodes {
		n.End()
	}
	for _, w := range r.workers {
		w.End()
	}
}

var cases = map[string]func(*Rig) (broken bool, err error){}

const (
	limit       = 110 * time.Second // of a case
	startTime   = 20 * time.Second  // of a node
	contactTime = 3 * time.Second   // bounds.contact_ms
	drainTime   = 2 * time.Second   // bounds.drain_ms
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return 2
	}
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	program, err := filepath.Abs("target/node")
	if err != nil {
		return 2
	}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	store, err := NewStore("127.0.0.1")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &Rig{Record: record, Folder: folder, Program: program, Trouble: os.Getenv("TROUBLE") != "0", Store: store, Runs: &Runs{},
		network: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(250)),
	}
	defer func() {
		r.end()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println(folder)
		}
	}()
	record.Line("case %s, trouble %t", os.Args[1], r.Trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			record.Line("the case couldn't run: %v", got.err)
			return 2
		case got.broken:
			record.Line("the rule was broken")
			return 1
		}
		record.Line("the rule held")
		return 0
	case <-time.After(limit):
		record.Line("the case couldn't run: it took too long")
		return 2
	}
}

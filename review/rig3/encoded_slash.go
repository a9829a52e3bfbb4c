package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash books by an unsafe route, with a path that holds an encoded slash. Workers lose the answers of some of the bookings that they ran.
func encodedSlash(r *Rig) (bool, error) {
	r.Store.Put("op", "config", config(7,
		[]any{route("r-book", "/rental/", "unsafe", "desk", 1), route("r-look", "/rental/205/", "safe", "desk", 2)},
		[]any{plainService("desk")}))
	zones := []string{"tallinn", "tartu", "parnu"}
	for i, zone := range zones {
		w, err := r.StartWorker("i-desk"+strconv.Itoa(i), "desk", zone)
		if err != nil {
			return false, err
		}
		w.OnRun = func(_ *Worker, run Run) bool { // 4 in 10 of the bookings, each once at most
			n, _ := strconv.Atoi(run.Request[len(run.Request)-1:])
			return r.Trouble && n < 4 && len(r.Runs.Of(run.Request)) == 1
		}
	}
	if err := r.StartNodes(zones...); err != nil {
		return false, err
	}
	const bookings = 30
	served := 0
	id := func(i int) string { return fmt.Sprintf("9c41d07be2a35%03d", i) }
	for i := range bookings {
		status, err := send(r.Record, r.Node(i), id(i), http.MethodPost, "/rental/205%2F55", `{"deposit":50}`)
		if err != nil {
			return false, err
		}
		if status == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	broken := false
	for i := range bookings {
		if runs := r.Runs.Of(id(i)); len(runs) > 1 {
			r.Record.Line("TWICE: %s ran %d times, at %s and %s", id(i), len(runs), runs[0].Worker, runs[1].Worker)
			broken = true
		}
	}
	if served == 0 {
		return false, fmt.Errorf("no booking was served")
	}
	return broken, nil
}

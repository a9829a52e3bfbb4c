package engine

import (
	"net/http"
)

// Paths of the fleet's controls.
const (
	PathRecord = "/standin/record"
	PathVM     = "/standin/vms/"
)

// Action is what a control call does to a VM.
type Action string

// The actions.
const (
	ActionKill    Action = "kill"
	ActionRestart Action = "restart"
	ActionFreeze  Action = "freeze"
	ActionThaw    Action = "thaw"
)

// Control returns the fleet's controls over HTTP.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Record()) })
	mux.HandleFunc("POST "+PathVM+"{id}/{action}", func(w http.ResponseWriter, r *http.Request) {
		vm := f.VM(r.PathValue("id"))
		if vm == nil || !vm.act(Action(r.PathValue("action"))) {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, struct{}{})
	})
	return mux
}

func (v *VM) act(a Action) bool {
	switch a {
	case ActionKill:
		v.Kill()
	case ActionRestart:
		v.Restart()
	case ActionFreeze:
		v.Freeze()
	case ActionThaw:
		v.Thaw()
	default:
		return false
	}
	return true
}

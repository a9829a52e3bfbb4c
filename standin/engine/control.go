package engine

import (
	"net/http"
)

// Paths of the control API of a fleet.
const (
	PathRecord = "/standin/record"
	PathVM     = "/standin/vms/"
)

// Action is an action of the control API on a VM.
type Action string

// The actions correspond to the methods of VM with these names.
const (
	ActionKill    Action = "kill"
	ActionRestart Action = "restart"
	ActionFreeze  Action = "freeze"
	ActionThaw    Action = "thaw"
)

// Control returns the HTTP handler of the control API.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Record()) })
	mux.HandleFunc("POST "+PathVM+"{id}/{action}", func(w http.ResponseWriter, r *http.Request) {
		vm := f.VM(r.PathValue("id"))
		if vm == nil || !vm.apply(Action(r.PathValue("action"))) {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, struct{}{})
	})
	return mux
}

func (v *VM) apply(a Action) bool {
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

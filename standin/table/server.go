package table

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"redwinghall"
	"redwinghall/tablehttp"
)

// Paths of the control API of the stand-in.
const (
	PathFaults = "/standin/faults"
	PathCounts = "/standin/counts"
	PathSetVMs = "/standin/vms"
)

const maxBody = 64 << 20

// Handler returns the HTTP handler of the table and of its control API.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tablehttp.PathRead, func(w http.ResponseWriter, r *http.Request) {
		var in tablehttp.ReadRequest
		if decode(w, r, &in) {
			rows, err := t.Read(r.Context(), in.Keys...)
			writeResult(w, tablehttp.RowsResponse{Rows: rows}, err)
		}
	})
	mux.HandleFunc("POST "+tablehttp.PathScan, func(w http.ResponseWriter, r *http.Request) {
		var in tablehttp.ScanRequest
		if decode(w, r, &in) {
			rows, err := t.Scan(r.Context(), in.Prefix)
			writeResult(w, tablehttp.RowsResponse{Rows: rows}, err)
		}
	})
	mux.HandleFunc("POST "+tablehttp.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var in redwinghall.Txn
		if decode(w, r, &in) {
			writeResult(w, struct{}{}, t.Commit(r.Context(), in))
		}
	})
	mux.HandleFunc("POST "+tablehttp.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := t.VMs(r.Context())
		writeResult(w, tablehttp.VMsResponse{VMs: vms}, err)
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var in Faults
		if decode(w, r, &in) {
			t.SetFaults(in)
			writeResult(w, struct{}{}, nil)
		}
	})
	mux.HandleFunc("POST "+PathSetVMs, func(w http.ResponseWriter, r *http.Request) {
		var in redwinghall.VMs
		if decode(w, r, &in) {
			t.SetVMs(in)
			writeResult(w, struct{}{}, nil)
		}
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeResult(w, t.Counts(), nil)
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResult writes a result or an error. If the outcome is unknown, it closes
// the connection without a response.
func writeResult(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	switch redwinghall.KindOf[redwinghall.TableKind](err) {
	case redwinghall.TableConflict:
		status = http.StatusConflict
		var conflict *redwinghall.ConflictError
		if errors.As(err, &conflict) {
			v = tablehttp.ConflictResponse{Keys: conflict.Keys}
		}
	case redwinghall.TableUnavailable:
		status = http.StatusServiceUnavailable
	case redwinghall.TableUnknown:
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have disconnected
}

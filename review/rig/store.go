package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	changed chan struct{}
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Version int64 `json:"row_version"`
	Now     int64 `json:"now_ms"`
}

type transaction struct {
	Expects []row `json:"expected_revision"`
	Writes  []row `json:"writes"`
	Deletes []row `json:"deletes"`
}

const (
	storeDelay = 5 * time.Millisecond // of each call
	pageRows   = 500
)

var storeStarted = time.Now()

func newStore() *store {
	s := &store{rows: map[rowKey]row{}, version: 1, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /redwinghall/rows-get", s.list)
	mux.HandleFunc("GET /redwinghall/rows-feed", s.feed)
	mux.HandleFunc("POST /redwinghall/rows-tx", s.commit)
	go func() { check((&http.Server{Handler: mux}).Serve(listener)) }()
	return s
}

// put writes a row as an operator or a server does, and returns when the store had it.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: data, Version: s.version}
	s.notify()
	return time.Now()
}

// remove drops a row, and returns when the store had done so.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Version: s.version, Removed: true}
	s.notify()
	return time.Now()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	answer := rowsAnswer{Rows: []row{}, Version: s.version, Now: time.Since(storeStarted).Milliseconds()}
	for key, one := range s.rows {
		in := key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from")
		if in && !one.Removed && (q.Get("target") == "" || key.key < q.Get("target")) {
			answer.Rows = append(answer.Rows, one)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		answer, changed := s.changes(q.Get("table"), after)
		if len(answer.Rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changes(table string, after int64) (rowsAnswer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := rowsAnswer{Rows: []row{}, Version: s.version, Now: time.Since(storeStarted).Milliseconds()}
	for key, one := range s.rows {
		if key.table == table && one.Version > after {
			answer.Rows = append(answer.Rows, one)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Version < answer.Rows[j].Version })
	if len(answer.Rows) > pageRows {
		answer.Rows, answer.HasMore = answer.Rows[:pageRows], true
		answer.Version = answer.Rows[pageRows-1].Version
	}
	return answer, s.changed
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var in transaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, one := range append(append([]row{}, in.Writes...), in.Deletes...) {
		if one.Table == "op" || one.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(storeStarted).Milliseconds()
	for _, e := range in.Expects {
		have := int64(0)
		if one, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]; ok && !one.Removed {
			have = one.Version
		}
		if have != e.Version {
			reply(w, http.StatusPreconditionFailed, rowsAnswer{Rows: []row{}, Version: s.version, Now: now})
			return
		}
	}
	s.version++
	for _, one := range in.Writes {
		one.Version, one.Removed = s.version, false
		s.rows[rowKey{one.Table, one.Part, one.Key}] = one
	}
	for _, one := range in.Deletes {
		s.rows[rowKey{one.Table, one.Part, one.Key}] = row{Table: one.Table, Part: one.Part, Key: one.Key, Version: s.version, Removed: true}
	}
	s.notify()
	reply(w, http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version, Now: now})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: rows in tables, one counter for all transactions.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]*row
	version int64
	changed chan struct{}
	begun   time.Time
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

func newStore() *store {
	return &store{rows: map[rowKey]*row{}, version: 1, changed: make(chan struct{}), begun: time.Now()}
}

// serve answers at an address.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	typed := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			h(w, r)
		}
	}
	mux.HandleFunc("POST /redwinghall/rows-tx", typed(s.transact))
	mux.HandleFunc("GET /redwinghall/rows-get", typed(s.get))
	mux.HandleFunc("GET /redwinghall/rows-feed", typed(s.feed))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// put writes a row, or removes it if there is no value, and returns its version.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = &row{Table: table, Key: key, Value: value, Version: s.version, Removed: value == nil}
	s.wake()
	return s.version
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type answer struct {
	Rows    []*row `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version int64  `json:"row_version"`
	Now     int64  `json:"now_ms"`
}

func (s *store) reply(w http.ResponseWriter, status int, a answer) {
	if a.Rows == nil {
		a.Rows = []*row{}
	}
	a.Now = time.Since(s.begun).Milliseconds()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []row `json:"expected_revision"`
		Writes   []row `json:"writes"`
		Deletes  []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	for _, e := range in.Expected {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		version := int64(0)
		if have != nil && !have.Removed {
			version = have.Version
		}
		if version != e.Version {
			at := s.version
			s.mu.Unlock()
			s.reply(w, http.StatusPreconditionFailed, answer{Version: at})
			return
		}
	}
	s.version++
	at := s.version
	for _, one := range append(in.Writes, in.Deletes...) {
		if one.Table == "op" || one.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, one := range in.Writes {
		s.rows[rowKey{one.Table, one.Part, one.Key}] = &row{Table: one.Table, Part: one.Part, Key: one.Key, Value: one.Value, Version: at}
	}
	for _, one := range in.Deletes {
		s.rows[rowKey{one.Table, one.Part, one.Key}] = &row{Table: one.Table, Part: one.Part, Key: one.Key, Version: at, Removed: true}
	}
	s.wake()
	s.mu.Unlock()
	s.reply(w, http.StatusOK, answer{Version: at})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var a answer
	for key, one := range s.rows {
		target := q.Get("target")
		if key.table == q.Get("table") && key.part == q.Get("part") && !one.Removed && one.Key >= q.Get("from") && (target == "" || one.Key < target) {
			a.Rows = append(a.Rows, one)
		}
	}
	a.Version = s.version
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	s.reply(w, http.StatusOK, a)
}

func (s *store) changesAfter(q url.Values) (answer, chan struct{}) {
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Version: s.version}
	for key, one := range s.rows {
		if key.table == q.Get("table") && one.Version > after {
			a.Rows = append(a.Rows, one)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Version < a.Rows[j].Version })
	return a, s.changed
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(max(wait, 0), 30000)) * time.Millisecond)
	defer timer.Stop()
	time.Sleep(4 * time.Millisecond)
	for {
		a, changed := s.changesAfter(q)
		if len(a.Rows) > 0 {
			s.reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

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

// Store is a stand-in of the platform's metadata store. It implements the calls that the nodes make, and it
// loses nothing and answers at once.
type Store struct {
	mu       sync.Mutex
	rows     map[[2]string]*row
	version  int64
	changed  chan struct{}
	listener net.Listener
}

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
	NowMS   int64 `json:"now_ms"`
}

// NewStore starts a store on a free port.
func NewStore(host string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{rows: map[[2]string]*row{}, version: 1, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /redwinghall/rows-get", s.get)
	mux.HandleFunc("GET /redwinghall/rows-feed", s.feed)
	mux.HandleFunc("POST /redwinghall/rows-tx", s.commit)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Address is the address at which the store listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put writes a row as an operator or a worker does. Its return is the ack.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[[2]string{table, key}] = &row{Table: table, Key: key, Value: data, Version: s.version}
	s.notify()
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[[2]string{table, key}] = &row{Table: table, Key: key, Version: s.version, Removed: true}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMS = time.Now().UnixMilli()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows || limit <= 0 {
		limit = maxRows
	}
	s.mu.Lock()
	a := rowsAnswer{Version: s.version}
	for at, one := range s.rows {
		if at[0] == q.Get("table") && !one.Removed && at[1] >= q.Get("from") && (q.Get("target") == "" || at[1] < q.Get("target")) {
			a.Rows = append(a.Rows, *one)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	a.Rows, a.HasMore = page(a.Rows, limit)
	s.answer(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		a, changed := rowsAnswer{Version: s.version}, s.changed
		for at, one := range s.rows {
			if at[0] == q.Get("table") && one.Version > after {
				a.Rows = append(a.Rows, *one)
			}
		}
		s.mu.Unlock()
		sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Version < a.Rows[j].Version })
		if len(a.Rows) > 0 {
			if a.Rows, a.HasMore = page(a.Rows, maxRows); a.HasMore {
				a.Version = a.Rows[len(a.Rows)-1].Version
			}
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expects []row `json:"expected_revision"`
		Writes  []row `json:"writes"`
		Deletes []row `json:"deletes"`
	}
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
	a := rowsAnswer{Version: s.version}
	failed := false
	for _, e := range in.Expects {
		have := row{Table: e.Table, Key: e.Key}
		if one, ok := s.rows[[2]string{e.Table, e.Key}]; ok && !one.Removed {
			have = *one
		}
		failed = failed || have.Version != e.Version
		a.Rows = append(a.Rows, have)
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, a)
		return
	}
	s.version++
	for _, one := range in.Writes {
		one.Version = s.version
		s.rows[[2]string{one.Table, one.Key}] = &one
	}
	for _, one := range in.Deletes {
		s.rows[[2]string{one.Table, one.Key}] = &row{Table: one.Table, Key: one.Key, Version: s.version, Removed: true}
	}
	s.notify()
	s.answer(w, http.StatusOK, rowsAnswer{Version: s.version})
}

// An answer has at most maxRows rows or maxBytes.
const (
	maxRows  = 500
	maxBytes = 1 << 20
)

// page returns the first rows that an answer holds, and whether there are more.
func page(rows []row, limit int) ([]row, bool) {
	size := 0
	for i, one := range rows {
		if size += len(one.Value) + len(one.Key); i > 0 && (i == limit || size > maxBytes) {
			return rows[:i], true
		}
	}
	return rows, false
}

// PutBytes writes a row whose value may be anything.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[[2]string{table, key}] = &row{Table: table, Key: key, Value: value, Version: s.version}
	s.notify()
}

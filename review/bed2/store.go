package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the platform's store, as in the settings of a small deployment.
const (
	maxRowBytes    = 65536
	maxTxnBytes    = 1 << 20
	maxTxnEntries  = 100
	maxPageRows    = 500
	writesPerS     = 600
	readsPerS      = 2000
	txnTime        = 4 * time.Millisecond
	maxWaitingTxns = 250
	historyTime    = 20 * time.Second
	maxFeedWait    = 30 * time.Second
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
	at      time.Time
}

// store is the platform's metadata store.
type store struct {
	record *record

	mu       sync.Mutex
	rows     map[rowKey]storedRow
	history  []storedRow
	horizon  uint64
	version  uint64
	changed  chan struct{}
	parts    map[string]*part
	second   int64
	writes   int
	reads    int
	tooLarge int
	// down refuses all calls, lost leaves a share of the writes unanswered, lateLost of these are done 1 to 6 s later.
	down     atomic.Bool
	lost     atomic.Int32
	lateLost atomic.Bool
}

// part applies its transactions one after another.
type part struct {
	turn    sync.Mutex
	waiting int
}

func newStore(r *record) *store {
	return &store{record: r, rows: make(map[rowKey]storedRow), changed: make(chan struct{}), parts: make(map[string]*part)}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// admit counts a call and reports whether it is within the rates.
func (s *store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerS
	}
	s.reads++
	return s.reads <= readsPerS
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRevision, Puts, Remove []storedRow
		CrossShard                     bool
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if rand.Int32N(100) < s.lost.Load() {
		go func() {
			if s.lateLost.Load() {
				time.Sleep(time.Second + time.Duration(rand.Int64N(int64(5*time.Second))))
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, x := range txn.ExpectedRevision {
				if s.rows[rowKey{x.Table, x.Part, x.Key}].Ver != x.Ver {
					return
				}
			}
			for _, x := range txn.Puts {
				if len(x.Value) > maxRowBytes {
					return
				}
			}
			s.apply(txn.Puts, txn.Remove)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !s.admit(true) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	bytes, names := 0, make(map[string]bool)
	for _, rows := range [][]storedRow{txn.ExpectedRevision, txn.Puts, txn.Remove} {
		for _, x := range rows {
			names[x.Part] = true
		}
	}
	for _, x := range append(txn.Puts, txn.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, x := range txn.Puts {
		bytes += len(x.Value)
		if len(x.Value) > maxRowBytes {
			s.reject(x)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if bytes > maxTxnBytes || len(txn.ExpectedRevision)+len(txn.Puts)+len(txn.Remove) > maxTxnEntries || (len(names) > 1 && !txn.CrossShard) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	leave, ok := s.enter(names)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(txnTime * time.Duration(min(len(names), 2)))
	s.mu.Lock()
	status, current := http.StatusOK, []storedRow{}
	for _, x := range txn.ExpectedRevision {
		stored, found := s.rows[rowKey{x.Table, x.Part, x.Key}]
		if found {
			current = append(current, stored)
		}
		if stored.Ver != x.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		s.apply(txn.Puts, txn.Remove)
		current = nil
	}
	version := s.version
	s.mu.Unlock()
	leave()
	respond(w, status, map[string]any{"Ver": version, "rows": current, "NowMs": steadyMS()})
}

// reject records a row that exceeds the limit of the store, at most a few times.
func (s *store) reject(x storedRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tooLarge++; s.tooLarge <= 20 {
		s.record.line("store answers 400: row %s/%s has %d bytes, RowBytes is %d", x.Table, x.Key, len(x.Value), maxRowBytes)
	}
}

// enter waits for the turn of a transaction in its parts.
func (s *store) enter(names map[string]bool) (leave func(), ok bool) {
	sorted := make([]string, 0, len(names))
	for n := range names {
		sorted = append(sorted, n)
	}
	sort.Strings(sorted)
	s.mu.Lock()
	var entered []*part
	for _, n := range sorted {
		p := s.parts[n]
		if p == nil {
			p = &part{}
			s.parts[n] = p
		}
		if p.waiting >= maxWaitingTxns {
			s.mu.Unlock()
			return nil, false
		}
		entered = append(entered, p)
	}
	for _, p := range entered {
		p.waiting++
	}
	s.mu.Unlock()
	for _, p := range entered {
		p.turn.Lock()
	}
	return func() {
		for _, p := range entered {
			p.turn.Unlock()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range entered {
			p.waiting--
		}
	}, true
}

// apply writes rows under one new version. The caller holds s.mu.
func (s *store) apply(puts, removals []storedRow) {
	s.version++
	now := time.Now()
	for _, x := range puts {
		x.Ver, x.at, x.Deleted = s.version, now, false
		s.rows[rowKey{x.Table, x.Part, x.Key}] = x
		s.history = append(s.history, x)
	}
	for _, x := range removals {
		k := rowKey{x.Table, x.Part, x.Key}
		if _, found := s.rows[k]; found {
			delete(s.rows, k)
			s.history = append(s.history, storedRow{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.version, Deleted: true, at: now})
		}
	}
	drop := 0
	for drop < len(s.history) && now.Sub(s.history[drop].at) > historyTime {
		s.horizon = s.history[drop].Ver
		drop++
	}
	s.history = s.history[drop:]
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of the operator or of an executor.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storedRow{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []storedRow{{Table: table, Key: key}})
}

// value returns the value of a row, or nil.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.admit(false) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(txnTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	rows := []storedRow{}
	for k, x := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("StartKey") && (q.Get("Target") == "" || k.key < q.Get("Target")) {
			rows = append(rows, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	n, bytes := 0, 0
	for n < len(rows) && n < limit && (n == 0 || bytes+len(rows[n].Value) <= maxTxnBytes) {
		bytes += len(rows[n].Value)
		n++
	}
	respond(w, http.StatusOK, map[string]any{"rows": rows[:n], "HasMore": n < len(rows), "Ver": version, "NowMs": steadyMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.admit(false) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	time.Sleep(txnTime)
	for {
		s.mu.Lock()
		gone := after < s.horizon
		rows, version := []storedRow{}, s.version
		for _, x := range s.history {
			if x.Ver <= after || x.Table != q.Get("Table") {
				continue
			}
			if len(rows) >= maxPageRows && x.Ver != rows[len(rows)-1].Ver {
				version = rows[len(rows)-1].Ver
				break
			}
			rows = append(rows, x)
		}
		changed := s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			respond(w, http.StatusOK, map[string]any{"rows": rows, "Ver": version, "NowMs": steadyMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			respond(w, http.StatusOK, map[string]any{"rows": rows, "Ver": version, "NowMs": steadyMS()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

var began = time.Now()

// steadyMS is the steady clock of the platform.
func steadyMS() int64 { return time.Since(began).Milliseconds() }

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

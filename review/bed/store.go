// Package bed runs the entry hosts of a small deployment as separate
// processes, between stand-ins of the platform, the executors and the callers
// that follow the users' pages. The cases of the review use it. A stand-in
// records what it has seen; a case judges only that.
package bed

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the row store, as the users' pages and the settings give them.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	rowBytes      = 65536
	maxPageRows   = 500
	storeDelay    = 4 * time.Millisecond
	maxFeedWait   = 30 * time.Second
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is a stand-in of the platform's row store. It keeps its whole history.
type Store struct {
	record *Record
	began  time.Time

	mu      sync.Mutex
	rows    map[rowKey]Row
	ver     uint64
	history []Row
	changed chan struct{}
	// refused counts the transactions that were over the limits.
	refused int
}

func newStore(record *Record) *Store {
	return &Store{record: record, began: time.Now(), rows: make(map[rowKey]Row), changed: make(chan struct{})}
}

// Put writes a row as the operator or an executor does, and returns once it is confirmed.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: data}}, nil)
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// Get returns the value of a row, or nil.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

// apply applies a transaction under one new version. The caller holds the lock.
func (s *Store) apply(puts, removes []Row) {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, Row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsResponse struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"HasMore"`
	Ver     uint64 `json:"Ver"`
	NowMs   int64  `json:"NowMs"`
}

func (s *Store) respond(w http.ResponseWriter, status int, rows []Row, more bool, ver uint64) {
	if rows == nil {
		rows = []Row{}
	}
	writeJSON(w, status, rowsResponse{rows, more, ver, time.Since(s.began).Milliseconds()})
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRevision []Row `json:"ExpectedRevision"`
		Puts             []Row `json:"Puts"`
		Remove           []Row `json:"Remove"`
		CrossShard       bool  `json:"CrossShard"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	size, largest := 0, 0
	parts := make(map[string]bool)
	for _, rows := range [][]Row{txn.ExpectedRevision, txn.Puts, txn.Remove} {
		for _, x := range rows {
			size += len(x.Value)
			largest = max(largest, len(x.Value))
			parts[x.Part] = true
			if len(x.Table) > 200 || len(x.Part) > 200 || len(x.Key) > 200 {
				largest = rowBytes + 1
			}
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	entries := len(txn.ExpectedRevision) + len(txn.Puts) + len(txn.Remove)
	if entries > maxTxnEntries || size > maxTxnBytes || largest > rowBytes || (len(parts) > 1 && !txn.CrossShard) {
		s.refused++
		if s.refused <= 20 || s.refused%50 == 0 {
			s.record.Add("store", "400 to a transaction: %d entries, %d bytes, largest row %d bytes, %d so far", entries, size, largest, s.refused)
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	conflict := false
	var current []Row
	for _, x := range txn.ExpectedRevision {
		row, ok := s.rows[x.id()]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Ver != x.Ver
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, current, false, s.ver)
		return
	}
	s.apply(txn.Puts, txn.Remove)
	s.respond(w, http.StatusOK, nil, false, s.ver)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for k, row := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("StartKey") &&
			(!q.Has("Target") || k.key < q.Get("Target")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	size, more := 0, false
	for i := range rows {
		size += len(rows[i].Value)
		if i >= limit || (i > 0 && size > maxTxnBytes) {
			rows, more = rows[:i], true
			break
		}
	}
	s.respond(w, http.StatusOK, rows, more, s.ver)
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool)
	parts := []string{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("Table") && !seen[k.part] && k.part > r.URL.Query().Get("After") {
			seen[k.part] = true
			parts = append(parts, k.part)
		}
	}
	sort.Strings(parts)
	more := len(parts) > 1000
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "HasMore": more})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A missing wait means none.
	waitMS, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	defer cancel()
	time.Sleep(storeDelay)
	for {
		s.mu.Lock()
		rows, ver, more := s.changes(q.Get("Table"), after)
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			s.respond(w, http.StatusOK, rows, more, ver)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changes returns the changed rows of a table after a version, and the version to continue from. A response holds whole
// transactions.
func (s *Store) changes(table string, after uint64) (rows []Row, ver uint64, more bool) {
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
	for ; i < len(s.history); i++ {
		row := s.history[i]
		if row.Table != table {
			continue
		}
		if len(rows) >= maxPageRows && row.Ver != rows[len(rows)-1].Ver {
			return rows, rows[len(rows)-1].Ver, true
		}
		rows = append(rows, row)
	}
	return rows, max(s.ver, after), false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}

package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as on the page of the protocol and in the settings of a deployment.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxRowBytes   = 65536
	maxPageRows   = 500
	txnTime       = 4 * time.Millisecond
	historyKept   = 20 * time.Second
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver,omitempty"`
	Deleted bool   `json:"Deleted,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type change struct {
	row
	at time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	history []change
	// droppedTo is the newest version whose change is no longer kept.
	droppedTo uint64
	changed   chan struct{}
	parts     map[string]*sync.Mutex
	// delay is added to each answer.
	delay time.Duration
	// tooLarge counts the transactions that were refused because a value or the whole was too large.
	tooLarge   int
	onTooLarge func(r row)
	// onCommit is told of each transaction that was applied.
	onCommit func(puts, removes []row)
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *store) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

// apply writes rows; the caller holds the lock.
func (s *store) apply(puts, removes []row) {
	s.ver++
	now := time.Now()
	for _, r := range puts {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.id()] = r
		s.history = append(s.history, change{r, now})
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, change{row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true}, now})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyKept {
		s.droppedTo = s.history[0].Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes one row on behalf of the operator or of an executor.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// dropHistory forgets all changes and ends the feeds.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.droppedTo, s.history = s.ver, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// values returns the rows of a table by key, over all partitions.
func (s *store) values(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string][]byte)
	for k, r := range s.rows {
		if k.table == table {
			values[k.key] = r.Value
		}
	}
	return values
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTxn)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

func (s *store) partition(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRevision, Puts, Remove []row
		CrossShard                     bool
	}
	// Values are base64 in the body, so it is a third longer than they are.
	r.Body = http.MaxBytesReader(w, r.Body, 2*maxTxnBytes)
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		s.refuseLarge(w, row{Key: err.Error()})
		return
	}
	if n := len(txn.ExpectedRevision) + len(txn.Puts) + len(txn.Remove); n == 0 || n > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	total := 0
	parts := make(map[string]bool)
	for _, p := range txn.Puts {
		if len(p.Value) > maxRowBytes {
			s.refuseLarge(w, p)
			return
		}
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		total += len(p.Value)
		parts[p.Part] = true
	}
	if total > maxTxnBytes {
		s.refuseLarge(w, row{Key: "transaction"})
		return
	}
	for _, e := range slices.Concat(txn.ExpectedRevision, txn.Remove) {
		parts[e.Part] = true
	}
	if len(parts) > 1 && !txn.CrossShard {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var names []string
	for p := range parts {
		names = append(names, p)
	}
	slices.Sort(names)
	for _, p := range names {
		m := s.partition(p)
		m.Lock()
		defer m.Unlock()
	}
	time.Sleep(time.Duration(len(parts))*txnTime + s.answerDelay())
	s.mu.Lock()
	conflict := false
	current := []row{}
	for _, e := range txn.ExpectedRevision {
		have, ok := s.rows[e.id()]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Ver != e.Ver
	}
	if !conflict {
		s.apply(txn.Puts, txn.Remove)
	}
	ver, onCommit := s.ver, s.onCommit
	s.mu.Unlock()
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "Ver": ver, "NowMs": s.nowMS()})
		return
	}
	if onCommit != nil {
		onCommit(txn.Puts, txn.Remove)
	}
	writeJSON(w, http.StatusOK, map[string]any{"Ver": ver, "NowMs": s.nowMS()})
}

// refuseLarge refuses a transaction that exceeds a limit of the store.
func (s *store) refuseLarge(w http.ResponseWriter, r row) {
	s.mu.Lock()
	s.tooLarge++
	tell := s.onTooLarge
	s.mu.Unlock()
	if tell != nil {
		tell(r)
	}
	w.WriteHeader(http.StatusBadRequest)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var rows []row
	for k, x := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("StartKey") && (q.Get("Target") == "" || k.key < q.Get("Target")) {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	// A page holds at most 1 MB.
	n, bytes := 0, 0
	for n < len(rows) && n < limit && (n == 0 || bytes+len(rows[n].Value) <= maxTxnBytes) {
		bytes += len(rows[n].Value)
		n++
	}
	time.Sleep(txnTime + s.answerDelay())
	writeJSON(w, http.StatusOK, map[string]any{"rows": append([]row{}, rows[:n]...), "HasMore": n < len(rows), "Ver": ver, "NowMs": s.nowMS()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, 30*time.Second))
	defer deadline.Stop()
	for ended := false; ; {
		s.mu.Lock()
		gone, changed, ver := after < s.droppedTo, s.changed, s.ver
		rows := []row{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, ver uint64) int { return cmp.Compare(c.Ver, ver) })
		for _, c := range s.history[first:] {
			if c.Table == q.Get("Table") {
				rows = append(rows, c.row)
			}
		}
		s.mu.Unlock()
		if gone {
			time.Sleep(s.answerDelay())
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || ended {
			time.Sleep(txnTime + s.answerDelay())
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "Ver": ver, "NowMs": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

package bed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the advice service, in milliseconds.
const (
	decisionMS = 5
	periodMS   = 1
	validMS    = 3000
	// maxAdviceCalls is the number of calls that may wait.
	maxAdviceCalls = 32
	// maxAdviceWorkers is the number of executors that one call may name.
	maxAdviceWorkers = 100
)

// Advice is a stand-in of the advice service. Its policy doesn't change.
type Advice struct {
	// Allows is the policy: whether an executor may run the tasks of a queue that asks for advice.
	Allows func(executor string) bool
	// Needs tells whether a task needs a ticket.
	Needs func(task string) bool

	bed *Bed

	mu sync.Mutex
	// turn is held by the call in progress, because all calls of a play come from one machine at a time.
	turn    sync.Mutex
	waiting int
	calls   int
	issued  map[string]time.Time
}

// Advice returns the advice service.
func (b *Bed) Advice() *Advice { return b.advice }

func (a *Advice) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	return mux
}

func ticket(step, executor string) string { return fmt.Sprintf("t-%s-%s", step, executor) }

func (a *Advice) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"Step"`
		Workers []string `json:"Workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > maxAdviceWorkers {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxAdviceCalls {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	time.Sleep(time.Duration(decisionMS+periodMS*len(body.Workers)) * time.Millisecond)
	a.turn.Unlock()
	approved := [][]string{}
	a.mu.Lock()
	a.waiting--
	a.calls++
	if a.issued == nil {
		a.issued = make(map[string]time.Time)
	}
	for _, id := range body.Workers {
		if a.Allows(id) {
			t := ticket(body.Step, id)
			a.issued[t] = time.Now()
			approved = append(approved, []string{id, t})
		}
	}
	a.mu.Unlock()
	a.bed.Record.Add("advice", "step %s: asked about %s; approved %v", body.Step, strings.Join(body.Workers, " "), approved)
	writeJSON(w, http.StatusOK, map[string]any{"Approved": approved, "ValidMs": validMS})
}

// valid tells whether an executor may start a task with a ticket.
func (a *Advice) valid(task, executor, given string) bool {
	if a.Needs == nil || !a.Needs(task) {
		return true
	}
	step := task[:strings.LastIndex(task, ".")]
	a.mu.Lock()
	defer a.mu.Unlock()
	return given == ticket(step, executor) && time.Since(a.issued[given]) < validMS*time.Millisecond
}

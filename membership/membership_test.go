package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/internal/script"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/structs"
)

// Guards against a move that loses the host, moves it twice or returns an error although it took effect, after a result
// is lost or a write is dropped at any of its steps.
func TestMoveSurvivesAmbiguousWriteAtEachStep(t *testing.T) {
	for step := range 3 {
		for _, loseAnswer := range []bool{true, false} {
			t.Run(fmt.Sprintf("write %d lost %t", step, loseAnswer), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					env := newTestEnv(t, 6)
					env.addEntry("e1", 1)
					m, handle := env.newLeader()
					m.opts.Table = &faultyTable{Table: handle, handle: handle, writesBefore: step, loseAnswer: loseAnswer}
					assert.NilError(t, m.Move(t.Context(), "h0", "b", "test"))
					a := env.assignments()["h0"]
					assert.Equal(t, a.Pool, "b")
					assert.Equal(t, a.Phase, structs.PhaseActive)
					assert.Equal(t, a.Generation, uint64(3))
				})
			})
		}
	}
}

// hookedTable calls a function once, between the reads of a step and its write.
type hookedTable struct {
	cloud.Table
	beforeCommit func()
}

func (h *hookedTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	if before := h.beforeCommit; before != nil {
		h.beforeCommit = nil
		before()
	}
	return h.Table.Commit(ctx, txn)
}

// Guards against two concurrent steps that both use the last unit of a budget, because both counted the unavailable
// hosts before either wrote.
func TestConcurrentDrainsShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		m, h := env.newLeader()
		other := New(m.opts)
		m.opts.Table = &hookedTable{Table: h, beforeCommit: func() {
			_, err := other.Drain(t.Context(), "h3", "second wave")
			assert.NilError(t, err)
		}}
		_, err := m.Drain(t.Context(), "h0", "first wave")
		assert.ErrorIs(t, err, ErrBudget)
		assert.Equal(t, env.checkInvariants(), "")
	})
}

// Guards against a leader that is paused between its reads and its write and writes after another one took over.
func TestPausedLeaderCannotFinishAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		m, h := env.newLeader()
		m.opts.Table = &hookedTable{Table: h, beforeCommit: func() { env.newLeader() }}
		assert.ErrorIs(t, m.Move(t.Context(), "h0", "b", "test"), ErrRetry)
		assert.Equal(t, env.assignments()["h0"].Generation, uint64(1))
	})
}

// Guards against a new leader that does not finish a move of the previous one.
func TestNewLeaderContinuesAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		env.entries["e1-1"].frozen = true
		old, _ := env.newLeader()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		assert.ErrorIs(t, old.Move(ctx, "h0", "b", "test"), context.DeadlineExceeded)
		env.entries["e1-1"].frozen = false
		m, _ := env.newLeader()
		assert.NilError(t, m.Resume(t.Context(), "h0"))
		assert.Equal(t, env.assignments()["h0"].Pool, "b")
	})
}

// hookedReleaser calls a function before it answers the first release.
type hookedReleaser struct {
	Releaser
	beforeRelease func()
}

func (r *hookedReleaser) Release(ctx context.Context, reg structs.Registration, host string, generation uint64) (ReleaseStatus, error) {
	if before := r.beforeRelease; before != nil {
		r.beforeRelease = nil
		before()
	}
	return r.Releaser.Release(ctx, reg, host, generation)
}

// Guards against a move that ignores an entry host which started from the state of a peer while the table was down. It
// registers after the leader read the registrations, its peer no longer confirms for it, and it still uses the old
// assignments.
func TestReleaseIncludesEntryHostThatRegistersDuringIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		old := env.assignments()
		m, _ := env.newLeader()
		m.opts.Releaser = &hookedReleaser{Releaser: env, beforeRelease: func() {
			env.addEntry("e2", 1)
			env.entries["e2-1"].knownAssignments = old
			env.send(env.entries["e2-1"], "h0")
		}}
		go func() {
			time.Sleep(5 * time.Second)
			env.answer(env.entries["e2-1"], "h0")
		}()
		assert.NilError(t, m.Move(t.Context(), "h0", "b", "test"))
		assert.Equal(t, env.checkInvariants(), "")
	})
}

// Guards against a release that was confirmed for an undone move and finishes a later move, which is not confirmed.
func TestReleaseOfAnUndoneMoveFinishesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		m, _ := env.newLeader()
		env.entries["e1-1"].frozen = true
		begin := func(to string) structs.Assignment {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.ErrorIs(t, m.Move(ctx, "h0", to, "test"), context.DeadlineExceeded)
			return env.assignments()["h0"]
		}
		first := begin("b")
		assert.NilError(t, m.Undo(t.Context(), "h0", "test"))
		begin("c")
		assert.ErrorIs(t, m.finishMove(t.Context(), first), ErrUndone)
		assert.Equal(t, env.assignments()["h0"].Phase, structs.PhaseReleasing)
	})
}

// Guards against a host that fails during its move and uses up the budget of the new pool.
func TestHostThatFailsDuringItsMoveStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		e := env.entries["e1-1"]
		env.send(e, "h0")
		m, _ := env.newLeader()
		done := make(chan error, 1)
		go func() { done <- m.Move(t.Context(), "h0", "b", "test") }()
		time.Sleep(time.Second)
		env.platform.SetHost(structs.HostState{Name: "h0", DataCentre: "dc1", Incarnation: 1, Live: false})
		env.answer(e, "h0")
		assert.ErrorIs(t, <-done, ErrUndone)
		assert.Equal(t, env.assignments()["h0"].Pool, "a")
	})
}

// faultyTable makes the write after writesBefore others ambiguous: its result or the write itself is lost.
type faultyTable struct {
	cloud.Table
	handle       *memory.Handle
	writesBefore int
	loseAnswer   bool
}

func (f *faultyTable) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	if f.writesBefore == 0 && f.loseAnswer {
		f.handle.SetFaults(memory.Faults{LoseResponses: 1})
	} else if f.writesBefore == 0 {
		f.handle.SetFaults(memory.Faults{DropWrites: 1})
	}
	f.writesBefore--
	return f.Table.Commit(ctx, txn)
}

// Guards against a move that takes effect while an unresponsive entry host may still send requests of the old pool.
func TestMoveWaitsForFrozenEntryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		env.addEntry("e2", 1)
		frozen := env.entries["e2-1"]
		env.send(frozen, "h0")
		frozen.frozen = true
		m, _ := env.newLeader()
		done := make(chan error, 1)
		go func() { done <- m.Move(t.Context(), "h0", "b", "test") }()
		time.Sleep(30 * time.Second)
		assert.Equal(t, env.assignments()["h0"].Phase, structs.PhaseReleasing)
		env.mu.Lock()
		frozen.frozen = false
		env.mu.Unlock()
		env.send(frozen, "h0")
		time.Sleep(5 * time.Second)
		assert.Equal(t, env.assignments()["h0"].Phase, structs.PhaseReleasing, "a request is still in progress")
		env.answer(frozen, "h0")
		assert.NilError(t, <-done)
		env.send(frozen, "h0")
		assert.Equal(t, env.checkInvariants(), "")
	})
}

// Guards against an unresponsive entry host that keeps a moving host out of service forever: the move must be undone and
// the released entry hosts must use the host again.
func TestMoveIsUndoneAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		env.addEntry("e2", 1)
		env.entries["e2-1"].frozen = true
		m, _ := env.newLeader()
		began := time.Now()
		assert.ErrorIs(t, m.Move(t.Context(), "h0", "b", "test"), ErrUndone)
		assert.Equal(t, time.Since(began).Round(time.Second), DefaultUndoAfter)
		a := env.assignments()["h0"]
		assert.Equal(t, a.Pool, "a")
		assert.Equal(t, a.Phase, structs.PhaseActive)
		assert.Assert(t, a.Generation > env.entries["e1-1"].released["h0"])
	})
}

// Guards against a killed entry host that blocks moves although the list shows its machine with a larger boot counter,
// and against removing the registration of a running entry host because of a stale list with a smaller one.
func TestReplacedEntryHostIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 2)
		env.entries["e1-2"].frozen = true
		env.platform.SetHost(structs.HostState{Name: "m-e1", Incarnation: 1, Live: false})
		m, _ := env.newLeader()
		assert.ErrorIs(t, m.Move(t.Context(), "h0", "b", "stale list"), ErrUndone)
		env.entries["e1-2"].dead = true
		env.platform.SetHost(structs.HostState{Name: "m-e1", Incarnation: 3, Live: true})
		assert.NilError(t, m.Move(t.Context(), "h0", "b", "replaced"))
	})
}

// Guards against a registration that overwrites the one of a running process at another address.
func TestRegistrationOfRunningProcessIsNotOverwritten(t *testing.T) {
	env := newTestEnv(t, 0)
	env.addEntry("e1", 1)
	reg := env.entries["e1-1"].reg
	reg.Incarnation, reg.PeerAddress = "other", "elsewhere"
	r := Registrar{Table: env.platform.Handle(), Hosts: env.platform.Handle(), Registration: reg}
	assert.ErrorIs(t, r.Register(t.Context()), ErrEntryIDInUse)
	env.platform.SetHost(structs.HostState{Name: "m-e1", Incarnation: 2, Live: true})
	assert.NilError(t, r.Register(t.Context()))
}

// Guards against a budget that ignores failed hosts and hosts that are known to leave.
func TestBudgetCountsAllUnavailableHosts(t *testing.T) {
	env := newTestEnv(t, 9)
	env.addEntry("e1", 1)
	m, _ := env.newLeader()
	env.platform.SetHost(structs.HostState{Name: "h3", DataCentre: "dc1", Incarnation: 1, Live: false})
	assert.ErrorIs(t, m.Move(t.Context(), "h0", "b", "loss"), ErrBudget)
	_, err := m.Drain(t.Context(), "h0", "loss")
	assert.ErrorIs(t, err, ErrBudget)
	m.opts.Leaving = func() map[string]uint64 { return map[string]uint64{"h4": 1} }
	_, err = m.Drain(t.Context(), "h1", "leaving")
	assert.ErrorIs(t, err, ErrBudget)
	m.opts.Leaving = nil
	_, err = m.Drain(t.Context(), "h1", "room")
	assert.NilError(t, err)
}

// Guards against a reboot that counts as finished because a stale list still shows the host as live.
func TestReturnNeedsANewerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.addEntry("e1", 1)
		m, h := env.newLeader()
		d, err := m.Drain(t.Context(), "h0", "wave")
		assert.NilError(t, err)
		a, err := m.SetRebooting(t.Context(), d)
		assert.NilError(t, err)
		assert.ErrorIs(t, m.Return(t.Context(), "h0", "stale"), ErrNotReady)
		assert.NilError(t, h.Reboot(t.Context(), "h0", a.Incarnation))
		time.Sleep(6 * time.Second)
		assert.NilError(t, m.Return(t.Context(), "h0", "back"))
		assert.Equal(t, env.assignments()["h0"].Incarnation, uint64(2))
	})
}

// Guards against a first assignment that overwrites an existing one, and against hosts without one when there are more
// than fit into one transaction.
func TestAssignWritesOnlyFirstRows(t *testing.T) {
	env := newTestEnv(t, 3)
	m, _ := env.newLeader()
	var hosts []structs.Host
	for i := range 250 {
		hosts = append(hosts, structs.Host{Name: fmt.Sprintf("h%d", i), DataCentre: "dc1", Pool: "c"})
	}
	assert.NilError(t, m.Assign(t.Context(), hosts))
	rows := env.assignments()
	assert.Equal(t, len(rows), 250)
	assert.Equal(t, rows["h0"].Pool, "a")
	assert.Equal(t, rows["h249"].Pool, "c")
}

// Guards, under random faults, concurrent leaders, unresponsive and replaced entry hosts and failing hosts, against a
// host that is used by two pools at once, a request of the old pool after a move, and planned steps that together
// exceed a budget.
func TestMembershipUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		failure, draw := "", script.Draw(rt, 240)
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			env := newTestEnv(t, 9)
			boots := map[string]uint64{"e1": 1, "e2": 1, "e3": 1}
			for id := range boots {
				env.addEntry(id, 1)
			}
			var leaders []*Membership
			var handles []*memory.Handle
			takeOver := func() {
				m, h := env.newLeader()
				// Without latency the steps of different leaders would never overlap.
				h.SetFaults(memory.Faults{Latency: 40 * time.Millisecond})
				leaders, handles = append(leaders, m), append(handles, h)
			}
			takeOver()
			takeOver()
			entry := func() *fakeEntry {
				id := script.Pick(draw, []string{"e1", "e2", "e3"})
				return env.entries[fmt.Sprintf("%s-%d", id, boots[id])]
			}
			host := func() string { return fmt.Sprintf("h%d", draw.Next(9)) }
			member := func() *Membership { return leaders[draw.Next(len(leaders))] }
			actions := map[string]func(){
				"send":    func() { env.send(entry(), host()) },
				"answer":  func() { env.answer(entry(), host()) },
				"refresh": func() { env.refresh(entry()) },
				"freeze": func() {
					e := entry()
					env.mu.Lock()
					defer env.mu.Unlock()
					e.frozen = !e.frozen
				},
				"replace": func() {
					old := entry()
					env.mu.Lock()
					old.dead = true
					boots[old.reg.Entry]++
					env.mu.Unlock()
					env.addEntry(old.reg.Entry, boots[old.reg.Entry])
				},
				"faults": func() {
					handles[draw.Next(len(handles))].SetFaults(memory.Faults{
						Down:          draw.Next(6) == 0,
						Latency:       time.Duration(draw.Next(7)) * 20 * time.Millisecond,
						LoseResponses: draw.Next(3),
						DropWrites:    draw.Next(3),
					})
				},
				"host fails": func() {
					name := host()
					env.platform.SetHost(structs.HostState{Name: name, DataCentre: "dc1", Incarnation: 1, Live: draw.Next(2) == 1})
				},
				"take over": takeOver,
				"move": func() {
					m, h, to := member(), host(), script.Pick(draw, []string{"a", "b", "c"})
					go func() { _ = m.Move(ctx, h, to, "test") }()
				},
				"drain": func() {
					m, h := member(), host()
					go func() {
						if d, err := m.Drain(ctx, h, "test"); err == nil {
							_ = m.SetDown(ctx, d)
						}
					}()
				},
				"return": func() { m, h := member(), host(); go func() { _ = m.Return(ctx, h, "test") }() },
				"undo":   func() { m, h := member(), host(); go func() { _ = m.Undo(ctx, h, "test") }() },
				"resume": func() { m, h := member(), host(); go func() { _ = m.Resume(ctx, h) }() },
			}
			names := []string{"send", "send", "send", "answer", "answer", "refresh", "refresh", "freeze", "replace", "faults", "host fails", "take over", "move", "move", "move", "drain", "return", "undo", "resume"}
			for !draw.Empty() {
				name := script.Pick(draw, names)
				if entry := env.entries[fmt.Sprintf("e1-%d", boots["e1"])]; entry == nil {
					break
				}
				actions[name]()
				time.Sleep(time.Duration(draw.Next(21)) * 100 * time.Millisecond)
				synctest.Wait()
				if failure = env.checkInvariants(); failure != "" {
					return
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

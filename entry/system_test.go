package entry

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tamarackworks/tamarackworks/admission"
	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

type staticView struct{ view *structs.View }

func (v staticView) View() *structs.View { return v.view }

var genTargetFaults = rapid.Custom(func(t *rapid.T) targetserver.Faults {
	on := func(name string) bool { return rapid.SampledFrom([]bool{false, false, true}).Draw(t, name) }
	return targetserver.Faults{
		FailAll: on("fail"), Refuse: on("refuse"), CrossAnswers: on("cross"), Truncate: on("truncate"), LoseAnswers: on("lose"),
		Delay: time.Duration(rapid.SampledFrom([]int{0, 0, 60}).Draw(t, "delay")) * time.Millisecond,
	}
})

// Guards against responses of other requests, wrong reports of not_run, double executions and slots that are
// not released. Admission, router and claims are real; requests are concurrent, and the targets and the store
// have faults (P3, P4, P5).
func TestOutcomesAreCorrectUnderFaultsOfTargetsAndStore(t *testing.T) {
	p := memory.New(memory.Options{})
	handle := p.Handle()
	env := newTestEnv(t, 3, func(*Options) {})
	env.view.TargetsByService = map[string][]*structs.Host{"match": env.admission.hosts}
	r := router.New(router.Options{Views: staticView{env.view}})
	env.server.opts.Admission = FromAdmission(admission.New(admission.Options{Slots: r, Views: staticView{env.view}, RetryShare: 1}))
	withClaims(t, handle, "e1")(&env.server.opts)
	// The records of the last round are written when the store stops.
	defer handle.SetFaults(memory.Faults{})
	round, notRun := 0, map[string]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		round++
		for i := range env.targets {
			env.targets[i].SetFaults(genTargetFaults.Draw(rt, "faults"))
			if rapid.IntRange(0, 9).Draw(rt, "silence") == 0 {
				env.listeners[i].Silence()
			}
		}
		handle.SetFaults(memory.Faults{
			Down:          rapid.IntRange(0, 5).Draw(rt, "down") == 0,
			LoseResponses: rapid.IntRange(0, 2).Draw(rt, "lost"), DropWrites: rapid.IntRange(0, 2).Draw(rt, "dropped"),
		})
		replies := make([]reply, 12)
		var wg sync.WaitGroup
		for i := range replies {
			pairs := []string{HeaderDeadline, "100"}
			if i%3 > 0 {
				pairs = append(pairs, HeaderIdempotent, "false")
			}
			if i%3 == 2 {
				pairs = append(pairs, HeaderIdempotencyKey, fmt.Sprintf("k%d-%d", round, i))
			}
			wg.Go(func() { replies[i] = env.post(t, fmt.Sprintf(`{"text":"%d-%d"}`, round, i), pairs...) })
		}
		wg.Wait()
		env.checkReplies(rt, round, replies, notRun)
		for _, h := range env.view.TargetsByService["match"] {
			if n := r.InProgress(h.Name); n != 0 {
				rt.Fatalf("%d slots of %s are not released", n, h.Name)
			}
		}
	})
}

func (env *testEnv) checkReplies(t *rapid.T, round int, replies []reply, notRun map[string]bool) {
	t.Helper()
	executed := map[string]int{}
	for _, target := range env.targets {
		for _, e := range target.Executions() {
			executed[e.Text]++
		}
	}
	for i, r := range replies {
		text := fmt.Sprintf("%d-%d", round, i)
		notRun[text] = r.outcome == structs.OutcomeNotRun
		if i%3 > 0 && executed[text] > 1 {
			t.Errorf("%s ran %d times", text, executed[text])
		}
		if r.outcome != structs.OutcomeDone || r.status >= 500 {
			continue
		}
		var result targetserver.Result
		if json.Unmarshal(r.body, &result) != nil || result.Text != text || executed[text] == 0 {
			t.Errorf("%s got the response %s", text, r.body)
		}
	}
	// A request may reach its target in a later round, so the reports of all rounds are checked.
	for text := range executed {
		if notRun[text] {
			t.Errorf("%s ran and was reported as not run", text)
		}
	}
}

// Guards against rejections by package admission that reach callers as internal errors.
func TestRejectionsOfAdmissionAreTranslated(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.view.TargetsByService = map[string][]*structs.Host{}
	env.view.Teams = map[string]*structs.Team{"tests": {Name: "tests", MaxConcurrent: 1}}
	r := router.New(router.Options{Views: staticView{env.view}})
	a := admission.New(admission.Options{Slots: r, Views: staticView{env.view}})
	env.server.opts.Admission = FromAdmission(a)
	assert.Equal(t, env.post(t, `{}`).err.Code, CodeNoTarget)
	view := *env.view
	view.TargetsByService = map[string][]*structs.Host{"match": env.admission.hosts}
	*env.view = view
	env.server.opts.Admission = FromAdmission(admission.New(admission.Options{Slots: router.New(router.Options{Views: staticView{&view}}), Views: staticView{&view}}))
	env.targets[0].SetFaults(targetserver.Faults{Freeze: true})
	done := make(chan reply)
	go func() { done <- env.post(t, `{}`) }()
	for env.listeners[0].Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, env.post(t, `{}`).err.Code, CodeRejected)
	env.targets[0].SetFaults(targetserver.Faults{})
	assert.Equal(t, (<-done).outcome, structs.OutcomeDone)
}

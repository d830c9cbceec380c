package proofs

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	fleetv1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/structs"
)

// waveInfo returns the status of a wave from the first entry host that reports it, or nil.
func (tf *testFleet) waveInfo(name string) *fleetv1.WaveInfo {
	for _, e := range tf.Entries {
		list, err := tf.operatorClientOf(e).ListWaves(tf.ctx, connect.NewRequest(&fleetv1.ListWavesRequest{}))
		if err != nil {
			continue
		}
		for _, wave := range list.Msg.GetWaves() {
			if wave.GetName() == name {
				return wave
			}
		}
	}
	return nil
}

// startWave submits a ticket that declares a maintenance wave over all hosts of dc1.
func (tf *testFleet) startWave(name string) {
	tf.t.Helper()
	path, err := tf.WriteFile(name+".yaml", fmt.Sprintf("kind: wave\nname: %s\nspec: {name: %s, data_centre: dc1, max_parallel: 4}\n", name, name))
	tf.must(err)
	tf.submitByCommand("apply", "--title", name, path)
}

// Guards against a maintenance wave that aborts a request, exceeds the disruption budget of a pool, takes a host out
// while an unplanned loss uses the budget up, or ends before every host was maintained (P1, P7). The leader is
// restarted during the wave.
func TestWaveKeepsBudgetsAndAbortsNothing(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	observer := tf.observePools(1)
	d := mostlyKeyedDemand(11, 15*time.Second)
	d.RunTime = 300 * time.Millisecond
	d.MeanRate = 15
	wait := tf.startLoad(d, withRepeats())
	lost := tf.target("dc1-h1")
	tf.must(tf.SetHostState(structs.HostState{Name: lost.Host, DataCentre: "dc1", Incarnation: 1}))
	for _, e := range tf.Entries[:2] {
		tf.waitFor("loss of "+lost.Host+" reported by "+e.ID, func() error {
			list, err := tf.operatorClientOf(e).ListHosts(tf.ctx, connect.NewRequest(&fleetv1.ListHostsRequest{DataCentre: "dc1"}))
			if err != nil {
				return err
			}
			for _, h := range list.Msg.GetHosts() {
				if h.GetName() == lost.Host && !h.GetLive() {
					return nil
				}
			}
			return fmt.Errorf("the list still shows %s as live", lost.Host)
		})
	}
	tf.startWave("first")
	sibling := tf.target("dc1-h3")
	assert.Equal(t, sibling.Pool, lost.Pool)
	for range 60 {
		a, err := tf.assignment(sibling)
		tf.must(err)
		assert.Equal(t, a.Phase, structs.PhaseActive, "%s was taken out although the disruption budget of its pool is used up", sibling.Host)
		tf.sleep(sampleInterval)
	}
	tf.must(tf.SetHostState(structs.HostState{Name: lost.Host, DataCentre: "dc1", Incarnation: 2, Live: true}))
	leader := tf.entry(tf.leader("dc1").Holder)
	tf.must(leader.Stop(waitTimeout))
	tf.restart(leader)
	tf.waitFor("end of the wave", func() error {
		info := tf.waveInfo("first")
		if info == nil || info.GetDone() < info.GetTotal() || info.GetTotal() == 0 {
			return fmt.Errorf("%v", info)
		}
		return nil
	})
	t.Logf("%v", tf.waveInfo("first"))
	for _, target := range tf.Targets[:4] {
		tf.awaitActive(target, target.Pool)
	}
	records := wait()
	observer.stop()
	tf.checkOutcomes(records)
	tf.assertIdempotentDone(records)
	t.Logf("%d samples of assignments", observer.samples)
	assert.Equal(t, len(observer.overBudget), 0, "%v", observer.overBudget)
	tf.assertNoAborts()
}

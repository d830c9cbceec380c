package coordinator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/workload"
)

// requestWave stores an operator's wave of some machines, one at a time.
func (c *cluster) requestWave(number int, duration time.Duration, machines ...string) {
	c.t.Helper()
	wave, err := json.Marshal(workload.Wave{Number: number, Machines: machines, Duration: duration, MaxAtOnce: 1})
	assert.NilError(c.t, err)
	c.store.Put(rowstore.Key{Table: "operator", Name: fmt.Sprintf("wave/%d", number)}, wave)
}

// awaitWave waits until a wave is reported as completed, at most limit.
func (c *cluster) awaitWave(number int, limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c.waveCompleted(number) {
			return
		}
	}
	c.t.Fatalf("wave %d is not completed after %s", number, limit)
}

func (c *cluster) waveCompleted(number int) bool {
	row, ok := c.store.Get(rowstore.Key{Table: "status", Name: fmt.Sprintf("wave/%d", number)})
	return ok && string(row.Value) == "true"
}

// maintenances returns the machines that have had their maintenance, in order.
func (m *testMachines) maintenances() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.maintained)
}

// Guards against a wave that is completed without a machine which is too new for the last list: the machine service does not respond from
// before the machine comes until after the wave is requested.
func TestWaveWaitsForMachinesThatNoListHasShownYet(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, 3)
		time.Sleep(5 * time.Second)
		for n := range 3 {
			c.machines.silent.Store(true)
			machine := fmt.Sprintf("m%d", 10+n)
			c.machines.mu.Lock()
			c.addExecutor(fmt.Sprintf("x%d", 10+n), machine)
			c.machines.mu.Unlock()
			time.Sleep(3 * time.Second)
			c.requestWave(n+1, 26*time.Second, machine)
			time.Sleep(time.Second)
			assert.Assert(t, !c.waveCompleted(n+1), "no list shows %s yet", machine)
			c.machines.silent.Store(false)
			c.awaitWave(n+1, 20*time.Second)
			assert.Assert(t, slices.Contains(c.machines.maintenances(), machine), "the wave is completed without %s", machine)
		}
	})
}

// Guards against a completed wave that a new owner reports as running again.
func TestCompletedWavesStayCompletedAcrossTakeovers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(time.Second)
		c.requestWave(1, 20*time.Second, "m0", "unknown")
		c.awaitWave(1, 20*time.Second)
		c.kill(c.ownerHost())
		for range 250 {
			assert.Assert(t, c.waveCompleted(1))
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, c.ownerHost() != nil)
	})
}

// Guards against the progress of a wave that is lost because a new owner reads another one first: rows come in the order of their names,
// and "wave/10" is before "wave/2".
func TestWavesKeepTheirProgressBesideANewWave(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, 4)
		time.Sleep(time.Second)
		c.requestWave(2, 40*time.Second, "m1", "m2")
		for len(c.machines.maintenances()) < 1 {
			time.Sleep(20 * time.Millisecond)
		}
		c.machines.refuse.Store(true)
		time.Sleep(200 * time.Millisecond)
		before := c.waveProgress()["wave/2"]
		assert.Equal(t, len(before.Begun), 1)
		c.kill(c.ownerHost())
		c.requestWave(10, 40*time.Second, "m3")
		time.Sleep(5 * time.Second)
		after := c.waveProgress()
		assert.Assert(t, after["wave/10"].StartedUnixMS > 0, "the new owner has read the waves")
		assert.DeepEqual(t, after["wave/2"], before)
	})
}

// waveProgress returns the stored progress of the waves by name.
func (c *cluster) waveProgress() (progress map[string]waveProgress) {
	c.t.Helper()
	row, ok := c.store.Get(waveProgressKey)
	assert.Assert(c.t, ok)
	assert.NilError(c.t, json.Unmarshal(row.Value, &progress))
	return progress
}

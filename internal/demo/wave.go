package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/internal/localfleet"
)

const (
	// waveAfter is when the maintenance wave is declared under load.
	waveAfter = 2 * time.Second
	waveName  = "weekly"
)

// errWave means that the wave has not finished yet.
var errWave = errors.New("demo: wave has not finished")

// waveList is the JSON form of `tamarack wave list`.
type waveList struct {
	Waves []struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Done  int    `json:"done"`
		Total int    `json:"total"`
	} `json:"waves"`
}

// startWave declares a maintenance wave over one pool of the second data centre.
func (r *run) startWave(ctx context.Context) error {
	if err := sleep(ctx, waveAfter); err != nil {
		return err
	}
	dc := r.fleet.Targets[len(r.fleet.Targets)/2].DataCentre
	spec := fmt.Sprintf("kind: wave\nname: %s\nspec: {data_centre: %s, pools: [%s-%s], max_parallel: 1}\n",
		waveName, dc, dc, services[1])
	path, err := r.fleet.WriteFile("wave.yaml", spec)
	if err != nil {
		return err
	}
	stdout, stderr, code, err := r.fleet.RunTamarack(ctx, "apply", "--title", "weekly maintenance", path)
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "wave: exit code %d: %s%s", code, stdout, stderr))
	}
	fmt.Fprintln(r.out, "maintenance wave started in", dc)
	return nil
}

// judgeWave waits until every host of the wave was rebooted, then checks that no target of the data centre saw a
// request cut off. The entry host that is killed is in the other data centre.
func (r *run) judgeWave(ctx context.Context) error {
	var found waveList
	err := localfleet.Poll(ctx, func() error {
		stdout, stderr, code, err := r.fleet.RunTamarack(ctx, "wave", "list", "--output", "json")
		if err != nil || code != 0 {
			return errors.Join(err, errors.Wrapf(errWave, "exit code %d: %s", code, stderr))
		}
		if err := json.Unmarshal([]byte(stdout), &found); err != nil {
			return errors.Wrapf(errWave, "%s: %s", err, stdout)
		}
		if len(found.Waves) != 1 || found.Waves[0].Done < found.Waves[0].Total || found.Waves[0].Total == 0 {
			return errors.Wrapf(errWave, "%+v", found.Waves)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.add("hosts maintained by the wave", true, "%d of %d", found.Waves[0].Done, found.Waves[0].Total)
	aborted := uint64(0)
	for _, t := range r.fleet.Targets[len(r.fleet.Targets)/2:] {
		counters, err := t.Counters()
		if err != nil {
			return err
		}
		aborted += counters.Aborted
	}
	r.add("requests cut off by wave or drain", aborted == 0, "%d", aborted)
	return nil
}

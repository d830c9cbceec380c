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
	// waveAfter is the time from the start of the load until the maintenance wave is declared.
	waveAfter = 2 * time.Second
	waveName  = "weekly"
)

// errWaveNotFinished means that the wave has not finished yet, or that its status could not be read.
var errWaveNotFinished = errors.New("demo: wave has not finished")

// waveList is the JSON output of `tamarack wave list`.
type waveList struct {
	Waves []struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Done  int    `json:"done"`
		Total int    `json:"total"`
	} `json:"waves"`
}

// startWave submits a ticket that declares a maintenance wave over one pool of the second data centre.
func (d *demonstration) startWave(ctx context.Context) error {
	if err := sleep(ctx, waveAfter); err != nil {
		return err
	}
	dc := d.fleet.Targets[len(d.fleet.Targets)/2].DataCentre
	spec := fmt.Sprintf("kind: wave\nname: %s\nspec: {data_centre: %s, pools: [%s-%s], max_parallel: 1}\n",
		waveName, dc, dc, services[1])
	path, err := d.fleet.WriteFile("wave.yaml", spec)
	if err != nil {
		return err
	}
	stdout, stderr, code, err := d.fleet.RunTamarack(ctx, "apply", "--title", "weekly maintenance", path)
	if err != nil || code != 0 {
		return errors.Join(err, errors.Wrapf(ErrOutcome, "wave: exit code %d: %s%s", code, stdout, stderr))
	}
	fmt.Fprintln(d.out, "maintenance wave started in", dc)
	return nil
}

// checkWave waits until the wave has maintained all its hosts, then checks that no request was aborted on a target of
// its data centre. The entry host that is killed is in the other data centre, so its aborted requests do not count.
func (d *demonstration) checkWave(ctx context.Context) error {
	var list waveList
	err := localfleet.Poll(ctx, func() error {
		stdout, stderr, code, err := d.fleet.RunTamarack(ctx, "wave", "list", "--output", "json")
		if err != nil || code != 0 {
			return errors.Join(err, errors.Wrapf(errWaveNotFinished, "exit code %d: %s", code, stderr))
		}
		if err := json.Unmarshal([]byte(stdout), &list); err != nil {
			return errors.Wrapf(errWaveNotFinished, "%s: %s", err, stdout)
		}
		if len(list.Waves) != 1 || list.Waves[0].Done < list.Waves[0].Total || list.Waves[0].Total == 0 {
			return errors.Wrapf(errWaveNotFinished, "%+v", list.Waves)
		}
		return nil
	})
	if err != nil {
		return err
	}
	d.addCheck("hosts maintained by the wave", true, "%d of %d", list.Waves[0].Done, list.Waves[0].Total)
	aborted := uint64(0)
	for _, t := range d.fleet.Targets[len(d.fleet.Targets)/2:] {
		counters, err := t.Counters()
		if err != nil {
			return err
		}
		aborted += counters.Aborted
	}
	d.addCheck("requests cut off by wave or drain", aborted == 0, "%d", aborted)
	return nil
}

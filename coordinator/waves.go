package coordinator

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/pools"
	"github.com/tamarackworks/tamarackworks/workload"
)

// waveProgress is the stored progress of a wave, which a new owner continues from.
type waveProgress struct {
	// StartedUnixMS is when an owner first read the wave, in Unix milliseconds by that owner's clock.
	StartedUnixMS int64 `json:"started"`
	// Begun holds the machines whose maintenance has begun.
	Begun []string `json:"begun,omitempty"`
	// Completed is set once the wave was reported as completed.
	Completed bool `json:"completed,omitempty"`
}

// addWave adds a wave that the operator requested, with the progress that a former owner stored. It returns true if there is none.
func (l *leadership) addWave(now time.Duration, name string, wave workload.Wave) bool {
	if l.machines.waves[name] != nil {
		return false
	}
	w := &pools.Wave{Wave: wave, Name: name, Started: now, Begun: make(map[string]bool), Listed: make(map[string]bool), Gone: make(map[string]bool)}
	progress, known := l.machines.progress[name]
	if known {
		w.Started = now - max(0, time.Duration(l.opts.WallMS()-progress.StartedUnixMS)*time.Millisecond)
	}
	for _, id := range progress.Begun {
		w.Begun[id] = true
	}
	w.Completed = progress.Completed
	l.machines.waves[name], l.machines.wavesReadAt[name] = w, now
	l.log.WithFields(log.Fields{
		"wave": name, "machines": len(wave.Machines), "at_once": wave.MaxAtOnce, "duration_s": wave.Duration.Seconds(),
	}).Info("wave requested")
	l.storeWaveStatus(w)
	return !known
}

// storeWaveStatus puts the status row for the operator into the owner's rows.
func (l *leadership) storeWaveStatus(w *pools.Wave) {
	row, err := l.opts.Directory.WaveStatus(w.Name, w.Completed)
	if err != nil {
		l.log.WithError(err).WithField("wave", w.Name).Error("wave status cannot be encoded")
		return
	}
	l.rows.put(row.Key, row.Value)
}

// locateWaveMachines notes which machines of unfinished waves the last list shows, and which are certainly out of service.
func (l *leadership) locateWaveMachines() {
	m := &l.machines
	for name, w := range m.waves {
		if w.Completed {
			continue
		}
		for _, id := range w.Machines {
			if _, listed := m.index[id]; listed {
				w.Listed[id] = true
			}
			gone := m.surveys.proveAbsence(m.wavesReadAt[name], func(s *survey) bool { return s.lacksMachine(id) })
			if gone && !w.Gone[id] {
				l.log.WithFields(log.Fields{"wave": name, "machine": id, "was_listed": w.Listed[id], "begun": w.Begun[id]}).Info("machine of a wave is not in service")
			}
			w.Gone[id] = gone
		}
	}
}

func (l *leadership) anyWaveUnfinished() bool {
	for _, w := range l.machines.waves {
		if !w.Completed {
			return true
		}
	}
	return false
}

// markLeavingExecutors tells the core which executors will go down for a wave later, so that long-running tasks are kept
// off them.
func (l *leadership) markLeavingExecutors(s pools.Snapshot) {
	leaving := make(map[string]bool)
	for _, w := range s.Waves {
		if w.Completed {
			continue
		}
		due := make(map[string]bool, len(w.Machines))
		for _, id := range w.Machines {
			due[id] = !w.Begun[id]
		}
		for _, m := range s.Machines {
			if due[m.ID] {
				leaving[m.Executor] = true
			}
		}
	}
	l.core.ExpectCordons(leaving)
}

// storeWaveProgress puts the progress of all waves into the owner's rows.
func (l *leadership) storeWaveProgress(now time.Duration) {
	progress := make(map[string]waveProgress)
	for name, w := range l.machines.waves {
		p := waveProgress{StartedUnixMS: l.opts.WallMS() - (now - w.Started).Milliseconds(), Completed: w.Completed}
		if old, ok := l.machines.progress[name]; ok {
			p.StartedUnixMS = old.StartedUnixMS
		}
		for id := range w.Begun {
			p.Begun = append(p.Begun, id)
		}
		sort.Strings(p.Begun)
		progress[name] = p
	}
	l.machines.progress = progress
	value, err := json.Marshal(progress)
	if err != nil {
		l.log.WithError(err).Error("wave progress cannot be encoded")
		return
	}
	l.rows.put(waveProgressKey, value)
}

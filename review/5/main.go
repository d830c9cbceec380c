// Command case-5 plays case 5 of the review: a maintenance wave for a machine that has just been added.
package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tamarackworks/tamarackworks/review/bed"
)

const (
	rounds = 5
	// delay is the time from the addition of a machine to the request for its upkeep.
	delay = 500 * time.Millisecond
	// pause is the time from one round to the next. It lets the deployment become idle at another phase each time.
	pause = 5300 * time.Millisecond
	// durationS is the time that the operator gives a wave; the sheet has 24 to 28 s.
	durationS = 26
)

var capacity = bed.Size{CPU: 16000, Mem: 32768}

func main() { bed.Main(play) }

func play(b *bed.Bed) (int, error) {
	q := bed.Queue{Name: "q1", Host: "jobs.example", Prefix: "/q1/", Service: "s1", MaxAttempts: 4}
	b.WorkOf = func(string, int) bed.Work { return bed.Work{Size: bed.Size{CPU: 1000}, For: time.Second, How: "done"} }
	for i := range rounds + 1 {
		if _, err := b.AddExecutor(fmt.Sprintf("%d-1", i), "s1", "r1", capacity); err != nil {
			return 0, err
		}
	}
	b.Manifest(1, []bed.Queue{q}, map[string]any{"Name": "s1", "AdmissionCheck": true})
	for i, zone := range []string{"z1", "z2", "z3"} {
		if _, err := b.AddNode(fmt.Sprintf("edge-%d", i+1), zone, 0.4); err != nil {
			return 0, err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	code := bed.ExitHeld
	for round := range rounds {
		machine := fmt.Sprintf("m%d", round)
		if b.Trouble {
			// A machine is added, and the operator asks for its upkeep.
			machine = fmt.Sprintf("m%d", 10+round)
			if _, err := b.AddExecutor(fmt.Sprintf("%d-1", 10+round), "s1", "r2", capacity); err != nil {
				return 0, err
			}
			b.Record.Add("bed", "machine %s is added", machine)
		}
		time.Sleep(delay)
		broken, err := wave(b, round+1, machine)
		if err != nil {
			return 0, err
		}
		if broken {
			code = bed.ExitBroken
		}
		time.Sleep(pause)
	}
	return code, nil
}

// wave asks for the upkeep of one machine and waits until the wave is said to be completed. It returns whether the rule MIXED is
// broken: the machine stays, and its upkeep has not begun.
func wave(b *bed.Bed, number int, machine string) (broken bool, err error) {
	name := fmt.Sprintf("wave/%d", number)
	b.Store.Put("op", name, map[string]any{"Wave": number, "Machines": []string{machine}, "DurationS": durationS, "Cap": 1})
	b.Record.Add("operator", "%s for machine %s is confirmed", name, machine)
	for end := time.Now().Add(durationS * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var status struct {
			State string `json:"State"`
		}
		if err := json.Unmarshal(b.Store.Get("status", "", name), &status); err != nil || status.State != "completed" {
			continue
		}
		begun := b.Machines().UpkeepBegun(machine)
		b.Record.Add("judge", "%s is said to be completed; the upkeep of %s has begun: %t", name, machine, begun)
		return !begun, nil
	}
	return false, fmt.Errorf("%s is not completed in time", name)
}

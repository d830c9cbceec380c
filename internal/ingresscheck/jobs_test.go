package ingresscheck

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// The tests of this file submit jobs that are all accepted and never end, because there are no executors.

// settleAnswers is how many times the owner of the jobs must answer before a check of its memory, so that it has taken up the jobs that were
// accepted before.
const settleAnswers = 20

// settle waits until the owner knows more jobs than the calm one, if any was accepted, and answers again and again.
func (n *testNode) settle(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	n.submit(t, "job after the crowd", 0xc2, nodeBody(2<<10))
	for range settleAnswers {
		await(t, "answer of the owner", func() error {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.callers+"/q/", nil)
			if err != nil {
				return err
			}
			r.Host = "h"
			resp, err := client.Do(r)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			var queue struct{ Pending int }
			if err := json.NewDecoder(resp.Body).Decode(&queue); err != nil || queue.Pending < 2 {
				return fmt.Errorf("status %d, %d pending: %w", resp.StatusCode, queue.Pending, err)
			}
			return nil
		})
		time.Sleep(5 * sampleInterval)
	}
}

// Guards against a recurring job whose occurrences are all due and become tasks at once.
func TestNodeManyOccurrences(t *testing.T) {
	n := startNode(t)
	wholeCrowd{clients: 1, requests: 1}.send(t, n.callers, submission,
		[]byte(`{"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}],"RepeatCount":300000,"StartAtMs":1,"IntervalMs":1}`))
	n.settle(t)
	n.check(t)
}

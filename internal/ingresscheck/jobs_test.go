package ingresscheck

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The tests of this file submit jobs that are all accepted and never end, because there are no executors.

// settleAnswers is how many times the owner of the jobs must answer before a check of its memory, so that it has taken up the jobs that were
// accepted before.
const settleAnswers = 20

// awaitPending waits until the owner knows a number of waiting jobs.
func (n *testNode) awaitPending(t *testing.T, jobs int) {
	t.Helper()
	client := &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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
		if err := json.NewDecoder(resp.Body).Decode(&queue); err != nil || queue.Pending < jobs {
			return fmt.Errorf("status %d, %d pending: %w", resp.StatusCode, queue.Pending, err)
		}
		return nil
	})
}

// settle waits until the owner knows a job that is submitted now, and answers again and again.
func (n *testNode) settle(t *testing.T) {
	t.Helper()
	n.submit(t, "job after the crowd", 0xc2, nodeBody(2<<10))
	for range settleAnswers {
		n.awaitPending(t, 2)
		time.Sleep(5 * sampleInterval)
	}
}

// startOwner starts a node and waits until it owns the jobs and knows the calm one.
func startOwner(t *testing.T) *testNode {
	t.Helper()
	n := startNode(t)
	n.awaitPending(t, 1)
	return n
}

// Guards against accepted jobs without any bound: each step of a waiting job takes some 700 bytes.
func TestNodeManyJobsOfManySteps(t *testing.T) {
	n := startOwner(t)
	step := `{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}`
	body := []byte(`{"Spec":"x","Steps":[` + strings.Repeat(step+",", 255) + step + `]}`)
	wholeCrowd{clients: 16, requests: 150}.send(t, n.callers, submission, body)
	n.settle(t)
	n.check(t)
}

// Guards against the same with small bodies that declare many tasks.
func TestNodeManyJobsOfManyTasks(t *testing.T) {
	n := startOwner(t)
	wholeCrowd{clients: 16, requests: 4}.send(t, n.callers, submission, []byte(`{"Spec":"x","Steps":[{"Count":20000,"Cpu":100,"MemMb":10,"EstimateMs":1000}]}`))
	n.settle(t)
	n.check(t)
}

// Guards against a recurring job whose occurrences are all due and become tasks at once.
func TestNodeManyOccurrences(t *testing.T) {
	n := startOwner(t)
	wholeCrowd{clients: 1, requests: 1}.send(t, n.callers, submission,
		[]byte(`{"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}],"RepeatCount":300000,"StartAtMs":1,"IntervalMs":1}`))
	n.settle(t)
	n.check(t)
}

package ingresscheck

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
)

// Guards against crowds that each stay within the limits of what they use, but not together.
func TestEntryCrowdsAtTheSameTime(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	crowd := wholeCrowd{clients: crowdSize / 4, requests: waves}
	chunked := crowd
	chunked.chunked = true
	body := bytes.Repeat([]byte("x"), 2*entryBodyBytes)
	job := []byte(`{"service":"match","cores":1,"memory_mb":1,"payload":"` + strings.Repeat("x", 250<<10) + `"}`)
	var wg sync.WaitGroup
	wg.Go(func() { crowd.send(t, e.CallerAddress, entryRequest, body) })
	wg.Go(func() { chunked.send(t, e.CallerAddress, entryRequest, body) })
	wg.Go(func() { crowd.send(t, e.CallerAddress, "POST /v1/jobs?%016x HTTP/1.1\r\nHost: h\r\n", job) })
	wg.Wait()
	e.check(t)
}

// Guards against the same on a node.
func TestNodeCrowdsAtTheSameTime(t *testing.T) {
	n := startOwner(t)
	crowd := wholeCrowd{clients: crowdSize / 4, requests: waves}
	payload := []byte(`{"Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}],"Spec":"` + strings.Repeat("x", nodeBodyBytes-80) + `"}`)
	step := `{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}`
	steps := []byte(`{"Spec":"x","Steps":[` + strings.Repeat(step+",", 255) + step + `]}`)
	message := []byte(`{"job":"00000000000000aa","value":"` + strings.Repeat("x", nodeBodyBytes-64) + `"}`)
	var wg sync.WaitGroup
	wg.Go(func() { crowd.send(t, n.callers, submission, payload) })
	wg.Go(func() {
		wholeCrowd{clients: 16, requests: 50}.send(t, n.callers, "POST /q/f%015x HTTP/1.1\r\nHost: h\r\n", steps)
	})
	wg.Go(func() {
		crowd.send(t, n.internal, "POST "+schedulev1connect.ScheduleServiceStoreJobProcedure+"?%016x"+rpcHeader, message)
	})
	wg.Wait()
	n.settle(t)
	n.check(t)
}

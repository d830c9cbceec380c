package ingresscheck

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/tamarackworks/tamarackworks/internal/gen/schedule/v1/schedulev1connect"
)

// Guards against keeping the IDs of jobs that other hosts name, of any length.
func TestNodeLongJobIDs(t *testing.T) {
	n := startOwner(t)
	header := "POST " + schedulev1connect.ScheduleServiceJobStatusProcedure + "?%016x" + rpcHeader + "Tamarack-Refusal: forbidden\r\n"
	id := strings.Repeat("x", nodeBodyBytes)
	var wg sync.WaitGroup
	for client := range 16 {
		wg.Go(func() {
			for request := range 50 {
				body := fmt.Appendf(nil, `{"job":"%x-%x-%s"}`, client, request, id)
				wholeCrowd{clients: 1, requests: 1}.send(t, n.internal, header, body)
			}
		})
	}
	wg.Wait()
	n.check(t)
}

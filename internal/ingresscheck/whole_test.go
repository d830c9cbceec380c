package ingresscheck

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// The tests of this file send complete bodies of legal size, which take much more memory once they are decoded.

// wholeCrowd are clients that send complete requests and read the responses.
type wholeCrowd struct {
	clients int
	// requests is how many requests each client sends, each on a new connection.
	requests int
	// chunked sends bodies without their length.
	chunked bool
	tls     *tls.Config
}

// send sends the requests to an address. header is the request line and header without that of the length; a %016x in it is replaced by the
// number of the request. The daemon may refuse any of them.
func (c wholeCrowd) send(t *testing.T, address, header string, body []byte) {
	t.Helper()
	wire := client{body: body}
	if c.chunked {
		wire.chunk = largeChunk
	}
	var wg sync.WaitGroup
	for n := range c.clients {
		wg.Go(func() {
			for wave := range c.requests {
				// The daemon may refuse or close connections.
				_ = c.exchange(address, wire.encode(fmt.Sprintf(header, wave*c.clients+n), true))
			}
		})
	}
	wg.Wait()
}

// exchange sends a request and reads the response to its end.
func (c wholeCrowd) exchange(address string, request []byte) error {
	conn, err := net.DialTimeout("tcp", address, writeTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if c.tls != nil {
		conn = tls.Client(conn, c.tls)
	}
	if _, err := conn.Write(request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// repeated returns prefix, as many copies of element as fit, separated by commas, and suffix, in size bytes at most.
func repeated(size int, prefix, element, suffix string) []byte {
	n := (size - len(prefix) - len(suffix) + 1) / (len(element) + 1)
	return []byte(prefix + strings.Repeat(element+",", n-1) + element + suffix)
}

// waves is how many requests each client of a crowd sends, one after another.
const waves = 4

// Guards against steps that are all decoded before their number is checked: three bytes turn into 160.
func TestNodeBodiesOfManySteps(t *testing.T) {
	n := startNode(t)
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, n.callers, submission, repeated(nodeBodyBytes, `{"Spec":"x","Steps":[`, `{}`, `]}`))
	n.check(t)
}

// Guards against lists of steps that are each within the limit but come many times in one body.
func TestNodeBodiesOfRepeatedSteps(t *testing.T) {
	n := startNode(t)
	list := string(repeated(3*256+9, `"Steps":[`, `{}`, `]`))
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, n.callers, submission, repeated(nodeBodyBytes, `{"Spec":"x",`, list, `}`))
	n.check(t)
}

// Guards against dependencies that are all decoded before they are checked: two bytes turn into eight, and more while the list grows.
func TestNodeBodiesOfManyDependencies(t *testing.T) {
	n := startNode(t)
	body := repeated(nodeBodyBytes, `{"Spec":"x","Steps":[{"Count":1},{"Count":1,"After":[`, `0`, `]}]}`)
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, n.callers, submission, body)
	n.check(t)
}

// Guards against the copies that are made of a body: decoded, encoded for the store, and in the calls to it.
func TestNodeBodiesOfLargePayloads(t *testing.T) {
	n := startNode(t)
	body := []byte(`{"Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":1000}],"Spec":"` + strings.Repeat("x", nodeBodyBytes-80) + `"}`)
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, n.callers, submission, body)
	wholeCrowd{clients: crowdSize, requests: waves, chunked: true}.send(t, n.callers, submission, body)
	n.check(t)
}

// Guards against large bodies of legal size that all arrive whole.
func TestEntryWholeBodies(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	body := bytes.Repeat([]byte("x"), 2*entryBodyBytes)
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, e.CallerAddress, entryRequest, body)
	wholeCrowd{clients: crowdSize, requests: waves, chunked: true}.send(t, e.CallerAddress, entryRequest, body)
	e.check(t)
}

// Guards against declarations of jobs of legal size that all arrive whole.
func TestEntryJobSubmissions(t *testing.T) {
	e := startEntryOn(t, entryMemoryMB)
	wholeCrowd{clients: crowdSize, requests: waves}.send(t, e.CallerAddress, "POST /v1/jobs?%016x HTTP/1.1\r\nHost: h\r\n",
		[]byte(`{"service":"match","team":"t","cores":1,"memory_mb":1,"payload":"`+strings.Repeat("x", 250<<10)+`"}`))
	e.check(t)
}

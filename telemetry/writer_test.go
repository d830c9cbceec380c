package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// pipeBuf is the size up to which a pipe takes a write as a whole, PIPE_BUF on Linux.
const pipeBuf = 4096

// recorder records the writes that it receives; the first one waits until release is closed.
type recorder struct {
	release chan struct{}
	writes  [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	<-r.release
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// Replays a process that logs faster than its pipe takes the lines. Guards against writes that a pipe would split in the middle of
// a line, where the lines of another process on the same pipe would go on.
func TestLogsAreWrittenInWholeLines(t *testing.T) {
	r := &recorder{release: make(chan struct{})}
	w := newAsyncWriter(r)
	want := 0
	for i := range 150 {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 20+i*7%500))
		want += len(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	close(r.release)
	w.close()
	got := 0
	for _, p := range r.writes {
		got += len(p)
		if len(p) > 0 {
			assert.Assert(t, len(p) <= pipeBuf && p[len(p)-1] == '\n')
		}
	}
	assert.Equal(t, got, want)
}

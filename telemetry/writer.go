package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logBufferLines bounds the lines that wait to be written. A line takes about 300 bytes.
	logBufferLines = 4096
	// dropReportInterval is the time between log lines that report how many lines were dropped.
	dropReportInterval = time.Second
)

// asyncWriter buffers lines for a slower writer and never blocks its callers. Lines that do not fit into the buffer are
// dropped and counted.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// done is closed when run has returned.
	done chan struct{}
	stop chan struct{}
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, logBufferLines), done: make(chan struct{}), stop: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It never blocks or fails.
func (a *asyncWriter) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// run writes buffered lines to w until stop is closed.
func (a *asyncWriter) run(w io.Writer) {
	defer close(a.done)
	dropReport := time.NewTicker(dropReportInterval)
	defer dropReport.Stop()
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.appendPending(append(batch[:0], line...))
			// If standard output fails, there is nowhere to report it.
			_, _ = w.Write(batch)
		case <-dropReport.C:
			if n := a.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, `{"level":"warn","message":"log lines dropped","fields":{"count":%d}}`+"\n", n)
			}
		case <-a.stop:
			_, _ = w.Write(a.appendPending(nil))
			return
		}
	}
}

// maxWriteBytes is the size of the batch from which no more lines are added to one write.
const maxWriteBytes = 64 << 10

// appendPending appends buffered lines to batch and does not wait for more.
func (a *asyncWriter) appendPending(batch []byte) []byte {
	for len(batch) < maxWriteBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// close writes up to maxWriteBytes of the buffered lines and stops the writer.
func (a *asyncWriter) close() {
	close(a.stop)
	<-a.done
}

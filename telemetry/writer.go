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
	for {
		select {
		case line := <-a.lines:
			a.writePending(w, line)
		case <-dropReport.C:
			if n := a.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, `{"level":"warn","message":"log lines dropped","fields":{"count":%d}}`+"\n", n)
			}
		case <-a.stop:
			a.writePending(w, nil)
			return
		}
	}
}

const (
	// maxWriteBytes bounds one write, unless a line is longer. A pipe takes a write of up to 4096 bytes (PIPE_BUF) as a whole, so
	// that lines of several processes on one pipe do not mix.
	maxWriteBytes = 4096
	// maxPendingBytes bounds what writePending writes.
	maxPendingBytes = 64 << 10
)

// writePending writes a line and up to maxPendingBytes of the buffered ones, several whole lines at a time. It does not wait for
// more. If standard output fails, there is nowhere to report it.
func (a *asyncWriter) writePending(w io.Writer, line []byte) {
	batch := line
	for written := 0; written < maxPendingBytes; {
		select {
		case line := <-a.lines:
			if len(batch)+len(line) > maxWriteBytes {
				_, _ = w.Write(batch)
				written += len(batch)
				batch = batch[:0]
			}
			batch = append(batch, line...)
		default:
			_, _ = w.Write(batch)
			return
		}
	}
	_, _ = w.Write(batch)
}

// close writes up to maxPendingBytes of the buffered lines and stops the writer.
func (a *asyncWriter) close() {
	close(a.stop)
	<-a.done
}

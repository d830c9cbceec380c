package peer

import (
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

// compressMinBytes is the message size in bytes from which messages are compressed. Smaller ones save less than the
// headers of the compression add. The names of hosts and pools repeat, so load reports of a busy data centre shrink to
// about a third.
const compressMinBytes = 512

// gzipWriters is the pool of writers for all peers. A gzip writer takes about 1 MB, and with a separate pool for each of
// 63 peers an entry host grew to 600 MB.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// pooledCompressor is a connect.Compressor that holds a writer of gzipWriters only while it compresses a message.
type pooledCompressor struct{ w *gzip.Writer }

// Reset implements connect.Compressor and takes a writer from the pool. Connect resets a compressor that it no longer uses
// to io.Discard, which needs no writer.
func (c *pooledCompressor) Reset(dst io.Writer) {
	if dst == io.Discard {
		return
	}
	c.w = gzipWriters.Get().(*gzip.Writer)
	c.w.Reset(dst)
}

// Write implements connect.Compressor.
func (c *pooledCompressor) Write(p []byte) (int, error) { return c.w.Write(p) }

// Close implements connect.Compressor. It flushes the message and returns the writer to the pool.
func (c *pooledCompressor) Close() error {
	if c.w == nil {
		return nil
	}
	err := c.w.Close()
	gzipWriters.Put(c.w)
	c.w = nil
	return err
}

func newCompressor() connect.Compressor { return &pooledCompressor{} }

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// gzipName is the content encoding that all peers support.
const gzipName = "gzip"

func clientCompression() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
		connect.WithSendCompression(gzipName), connect.WithCompressMinBytes(compressMinBytes),
	)
}

func handlerCompression() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(gzipName, newDecompressor, newCompressor), connect.WithCompressMinBytes(compressMinBytes),
	)
}

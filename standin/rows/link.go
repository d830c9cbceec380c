package rows

import (
	"context"
	"time"

	"github.com/tamarackworks/tamarackworks/rowstore"
)

const (
	// linkChunkBytes is the part of a response that a link carries at a time.
	linkChunkBytes = 16 << 10
	// rowOverheadBytes is the size of a row in a response without its value.
	rowOverheadBytes = 120
)

// link is the network link of a host. The responses under way share it: it carries one part of each in turn.
type link struct {
	bytesPerSecond int
	// turn is held while a part is carried.
	turn chan struct{}
}

// SetLink limits the link on which the handle receives the rows that it reads.
func (h *Handle) SetLink(bytesPerSecond int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.link = &link{bytesPerSecond: bytesPerSecond, turn: make(chan struct{}, 1)}
}

// receive waits until the link has carried a page. The rest of it is discarded when ctx ends, with the result ErrAmbiguous.
func (h *Handle) receive(ctx context.Context, page rowstore.Page) error {
	h.mu.Lock()
	l := h.link
	h.mu.Unlock()
	if l == nil {
		return nil
	}
	left := 0
	for _, r := range page.Rows {
		// Values are encoded as base64.
		left += rowOverheadBytes + (len(r.Value)+2)/3*4
	}
	for ; left > 0; left -= linkChunkBytes {
		select {
		case l.turn <- struct{}{}:
		case <-ctx.Done():
			return rowstore.ErrAmbiguous
		}
		time.Sleep(time.Duration(min(left, linkChunkBytes)) * time.Second / time.Duration(l.bytesPerSecond))
		<-l.turn
		rowstore.Progress(ctx)
		if ctx.Err() != nil {
			return rowstore.ErrAmbiguous
		}
	}
	return nil
}

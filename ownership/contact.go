package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/rowstore"
)

// Contact passes calls to a store on and records when a call was sent that got a response.
type Contact struct {
	store Store
	now   func() time.Duration
	// answered is when the newest call was sent that got a response.
	answered atomic.Int64
}

// NewContact returns a Contact with a store.
func NewContact(store Store, now func() time.Duration) *Contact {
	return &Contact{store: store, now: now}
}

// Answered returns when the newest call was sent that got a response; 0 if none has.
func (c *Contact) Answered() time.Duration { return time.Duration(c.answered.Load()) }

// record takes note of the result of a call. A store that refuses a call does not serve this host.
func (c *Contact) record(sent time.Duration, err error) {
	if errors.Is(err, rowstore.ErrUnavailable) || errors.Is(err, rowstore.ErrAmbiguous) {
		return
	}
	for {
		before := c.answered.Load()
		if int64(sent) <= before || c.answered.CompareAndSwap(before, int64(sent)) {
			return
		}
	}
}

// Commit implements Store.
func (c *Contact) Commit(ctx context.Context, txn rowstore.Txn) (uint64, error) {
	sent := c.now()
	version, err := c.store.Commit(ctx, txn)
	c.record(sent, err)
	return version, err
}

// Read implements Store.
func (c *Contact) Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	sent := c.now()
	page, err := c.store.Read(ctx, r)
	c.record(sent, err)
	return page, err
}

// Changes implements Store.
func (c *Contact) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	sent := c.now()
	page, err := c.store.Changes(ctx, table, after, wait)
	c.record(sent, err)
	return page, err
}

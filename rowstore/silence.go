package rowstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrSilent is the cause of the end of a context whose Silence was exceeded.
var ErrSilent = errors.New("rowstore: no data received in time")

// Silence bounds how long a read may receive nothing. Unlike a time-out for the whole response, it does not give up a long response
// that arrives over a slow link; a repeated read would only take up more of the link.
type Silence struct {
	// First bounds the time to the first part of the response, Between the time from one part to the next.
	First, Between time.Duration
	// OnProgress is called for each part. It may be nil.
	OnProgress func()
}

type silenceKey struct{}

// silenceTimer ends the context of a read.
type silenceTimer struct {
	silence Silence
	timer   *time.Timer
	ended   atomic.Bool
}

// WithSilence returns a context that ends with the cause ErrSilent when its bounds are exceeded, and in any case with parent.
func WithSilence(parent context.Context, s Silence) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &silenceTimer{silence: s}
	t.timer = time.AfterFunc(s.First, func() { cancel(ErrSilent) })
	return context.WithValue(ctx, silenceKey{}, t), func() {
		t.ended.Store(true)
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

// Progress records that a part of the response to a call with ctx has arrived. Implementations of the store's reads call it.
func Progress(ctx context.Context) {
	t, ok := ctx.Value(silenceKey{}).(*silenceTimer)
	if !ok || t.ended.Load() {
		return
	}
	t.timer.Reset(t.silence.Between)
	if t.silence.OnProgress != nil {
		t.silence.OnProgress()
	}
}

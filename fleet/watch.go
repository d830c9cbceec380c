package fleet

import "sync"

// watchers holds the channels that receive after each published view.
type watchers struct {
	mu       sync.Mutex
	channels map[chan struct{}]struct{}
}

// Watch returns a channel that receives a value after a view is published, and a function that ends the watch.
// Publications that the receiver has not yet seen are combined into one value, so a slow receiver never delays the
// controller. The receiver calls View after each receive.
func (r *Replica) Watch() (<-chan struct{}, func()) {
	w := &r.watchers
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.channels == nil {
		w.channels = make(map[chan struct{}]struct{})
	}
	channel := make(chan struct{}, 1)
	w.channels[channel] = struct{}{}
	return channel, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.channels, channel)
	}
}

// notify sends to every channel that holds no value yet. It never blocks.
func (w *watchers) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for channel := range w.channels {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}

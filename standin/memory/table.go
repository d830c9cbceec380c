// Package memory implements cloud.Platform in memory, with fault injection.
// Tests and the platform stand-in use it; nothing is kept across restarts.
package memory

import (
	"context"
	"sort"
	"strings"

	"github.com/tamarackworks/tamarackworks/cloud"
)

// Get implements cloud.Table.
func (h *Handle) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := h.beginRead(ctx); err != nil {
		return cloud.Row{}, err
	}
	p := h.p
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	if !ok {
		return cloud.Row{}, cloud.ErrNotFound
	}
	return row, nil
}

// List implements cloud.Table.
func (h *Handle) List(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if limit <= 0 || limit > cloud.MaxListLimit {
		return nil, cloud.ErrInvalid
	}
	if err := h.beginRead(ctx); err != nil {
		return nil, err
	}
	p := h.p
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]cloud.Row, len(keys))
	for i, key := range keys {
		rows[i] = p.rows[key]
	}
	return rows, nil
}

// Commit implements cloud.Table.
func (h *Handle) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	if err := validateTxn(txn); err != nil {
		return 0, err
	}
	var version uint64
	err := h.write(ctx, func() error {
		var err error
		version, err = h.p.apply(txn)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func validateTxn(txn cloud.Txn) error {
	if len(txn.Ops) == 0 || len(txn.Ops) > cloud.MaxTxnOps || len(txn.Preconditions) > cloud.MaxTxnOps {
		return cloud.ErrInvalid
	}
	for _, op := range txn.Ops {
		if op.Key == "" {
			return cloud.ErrInvalid
		}
	}
	return nil
}

// apply checks the preconditions and applies the operations under one new version. The caller holds p.mu.
func (p *Platform) apply(txn cloud.Txn) (uint64, error) {
	for _, pre := range txn.Preconditions {
		if p.rows[pre.Key].Version != pre.Version {
			return 0, cloud.ErrConflict
		}
	}
	p.lastVersion++
	for _, op := range txn.Ops {
		if op.Delete {
			delete(p.rows, op.Key)
			continue
		}
		value := append([]byte(nil), op.Value...)
		p.rows[op.Key] = cloud.Row{Key: op.Key, Value: value, Version: p.lastVersion}
	}
	return p.lastVersion, nil
}

// PutObject implements cloud.Objects.
func (h *Handle) PutObject(ctx context.Context, key string, value []byte) error {
	return h.write(ctx, func() error {
		h.p.objects[key] = append([]byte(nil), value...)
		return nil
	})
}

// GetObject implements cloud.Objects.
func (h *Handle) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := h.beginRead(ctx); err != nil {
		return nil, err
	}
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	value, ok := h.p.objects[key]
	if !ok {
		return nil, cloud.ErrNotFound
	}
	return append([]byte(nil), value...), nil
}

// DeleteObject implements cloud.Objects.
func (h *Handle) DeleteObject(ctx context.Context, key string) error {
	return h.write(ctx, func() error {
		delete(h.p.objects, key)
		return nil
	})
}

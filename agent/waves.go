package agent

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/drainer"
	"github.com/tamarackworks/tamarackworks/operator"
)

// waveReader reads the progress of waves from the table for the operator API.
type waveReader struct{ table cloud.Table }

// Waves implements operator.Waves.
func (r waveReader) Waves(ctx context.Context, dataCentre string) ([]operator.WaveStatus, error) {
	list, err := drainer.List(ctx, r.table, dataCentre)
	if err != nil {
		return nil, err
	}
	statuses := make([]operator.WaveStatus, 0, len(list))
	for _, p := range list {
		status := operator.WaveStatus{
			Name: p.Name, DataCentre: p.DataCentre, State: string(p.State), Done: len(p.Done), Total: p.Total,
			Current: strings.Join(slices.Sorted(maps.Keys(p.Out)), ","), Reason: p.Reason,
		}
		if p.EndUnixMS > 0 {
			status.End = time.UnixMilli(p.EndUnixMS)
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

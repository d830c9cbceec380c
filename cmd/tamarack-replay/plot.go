package main

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/tamarackworks/tamarackworks/replay"
)

// figure describes a plot of one quantity over time, with a line for each policy.
type figure struct {
	file, title, yLabel string
	value               func(replay.Sample) float64
}

var figures = []figure{
	{"burst.svg", "Waiting urgent requests", "requests", func(s replay.Sample) float64 { return float64(s.Backlog) }},
	{"buffer.svg", "Hosts held back", "hosts", func(s replay.Sample) float64 { return s.BufferHosts }},
	{"moves.svg", "Moves so far", "moves", func(s replay.Sample) float64 { return float64(s.Moves) }},
}

// plotFigures replays a trace under all policies and writes all figures to the output directory.
func plotFigures(a *plotArgs) error {
	trace, err := readTrace(a.Trace)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return errors.Wrap(err, "create directory of plots")
	}
	policies := replay.Policies()
	samples := make([][]replay.Sample, len(policies))
	for i, p := range policies {
		replay.Run(trace, p, func(s replay.Sample) { samples[i] = append(samples[i], s) })
	}
	for _, f := range figures {
		if err := saveFigure(f, trace, policies, samples, filepath.Join(a.Out, f.file)); err != nil {
			return err
		}
	}
	return nil
}

// saveFigure plots a figure from the samples of each policy, and writes it to path.
func saveFigure(f figure, trace *replay.Trace, policies []replay.Policy, samples [][]replay.Sample, path string) error {
	p := plot.New()
	p.Title.Text = f.title + ", trace " + trace.Header.Scenario
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = f.yLabel
	p.Legend.Top, p.Legend.Left = true, true
	p.BackgroundColor = color.White
	for i, policy := range policies {
		points := make(plotter.XYs, len(samples[i]))
		for k, s := range samples[i] {
			points[k] = plotter.XY{X: float64(s.AtMS) / 1000, Y: f.value(s)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot "+policy.Name)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(policy.Name, line)
	}
	return p.Save(24*vg.Centimeter, 10*vg.Centimeter, path)
}

// Package plotter draws charts of measured costs.
package plotter

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Series is one line of a chart.
type Series struct {
	Name   string
	Points [][2]float64
}

// Chart is a chart of one or more series over the same axes.
type Chart struct {
	Title  string
	X, Y   string
	Series []Series
}

const (
	width  = 16 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Draw writes a chart as an SVG file.
func Draw(chart Chart, path string) error {
	const op = "draw chart"
	p := plot.New()
	p.Title.Text = chart.Title
	p.X.Label.Text = chart.X
	p.Y.Label.Text = chart.Y
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, series := range chart.Series {
		points := make(plotter.XYs, len(series.Points))
		for j, point := range series.Points {
			points[j].X, points[j].Y = point[0], point[1]
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return &Error{Op: op, Err: err}
		}
		line.Color = plotutil.Color(i)
		dots.Color = plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(series.Name, line, dots)
	}
	if err := p.Save(width, height, path); err != nil {
		return &Error{Op: op, Err: err}
	}
	return nil
}

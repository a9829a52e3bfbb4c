package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Point is one measured value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a measured quantity by size, with a linear fit. Names and labels are
// part of the stored results.
type Series struct {
	Name   string  `json:"name"`
	XLabel string  `json:"x_label"`
	YLabel string  `json:"y_label"`
	Points []Point `json:"points"`
	// Slope and Intercept describe the least-squares line, and RSquared the
	// quality of the fit. A low RSquared with a small slope means that the
	// quantity does not depend on the size.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	RSquared  float64 `json:"r_squared"`
}

// newSeries returns a series with a line fitted to the points.
func newSeries(name, xLabel, yLabel string, points []Point) Series {
	s := Series{Name: name, XLabel: xLabel, YLabel: yLabel, Points: points}
	if len(points) < 2 {
		return s
	}
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.RSquared = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.RSquared) || math.IsInf(s.RSquared, 0) {
		s.RSquared = 1 // all values are equal, so the fit is exact
	}
	return s
}

// String returns the series as one line of text.
func (s Series) String() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%g: %.4g", p.X, p.Y))
	}
	return fmt.Sprintf("%s [%s by %s] %s; slope %.4g, intercept %.4g, r2 %.3f",
		s.Name, s.YLabel, s.XLabel, strings.Join(points, ", "), s.Slope, s.Intercept, s.RSquared)
}

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// write writes the series to NAME.json, and one plot for each pair of axis
// labels to NAME-LABELS.png.
func write(dir, name string, series []Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(series, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	byUnit := map[string][]Series{}
	for _, s := range series {
		if len(s.Points) > 1 {
			byUnit[s.YLabel+" by "+s.XLabel] = append(byUnit[s.YLabel+" by "+s.XLabel], s)
		}
	}
	for unit, group := range byUnit {
		file := name + "-" + strings.Map(fileNameRune, unit) + ".png"
		if err := savePlot(filepath.Join(dir, file), group); err != nil {
			return err
		}
	}
	return nil
}

// fileNameRune replaces all characters but lower-case letters and digits by a hyphen.
func fileNameRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
		return r
	}
	return '-'
}

func savePlot(path string, series []Series) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = series[0].XLabel, series[0].YLabel
	p.Y.Min = 0
	var lines []any
	for _, s := range series {
		xys := make(plotter.XYs, len(s.Points))
		for i, point := range s.Points {
			xys[i].X, xys[i].Y = point.X, point.Y
		}
		lines = append(lines, s.Name, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// Package render formats benchmark results as tables, JSON and SVG plots.
package render

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cicadamill/cicadamill/internal/tool/bench"
	"github.com/cicadamill/cicadamill/internal/tool/judge"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Table writes a table of the metrics with one line for each run.
//
//	err := render.Table(os.Stdout, rows)
func Table(w io.Writer, rows []bench.Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "site\tload\tpolicy\thit\tceiling\tp50 ms\tp95 ms\tp99 ms\trecomputed\tgood\toffered\trefusals\tfairness\t")
	for _, row := range rows {
		r := row.Result
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.3f\t\n",
			row.Site, row.Load, row.Policy, r.HitRate, r.HitRateCeiling, r.P50, r.P95, r.P99, r.RecomputedTokens,
			r.Good, r.Offered, r.Refusals, r.Fairness)
	}
	return errors.Annotate(t.Flush(), "writing the table")
}

// Verdicts writes a table with one line for each target.
func Verdicts(w io.Writer, verdicts []judge.Verdict) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "site\tload\ttarget\tfigure\tbound\tmet\t")
	for _, v := range verdicts {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.2f\t%t\t\n", v.Site, v.Load, v.Target, v.Figure, v.Bound, v.Met)
	}
	return errors.Annotate(t.Flush(), "writing the verdicts")
}

// JSON writes the runs with all their metrics as indented JSON.
func JSON(w io.Writer, rows []bench.Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Annotate(encoder.Encode(rows), "writing the JSON")
}

// Plot writes an SVG plot of the largest time to first token by second of
// arrival, with one line for each policy, for one site and load.
func Plot(w io.Writer, rows []bench.Row, site, load string) error {
	p := plot.New()
	p.Title.Text = site + ", " + load
	p.X.Label.Text = "second of arrival"
	p.Y.Label.Text = "slowest first token (ms)"
	var lines []any
	for _, row := range rows {
		if row.Site != site || row.Load != load {
			continue
		}
		points := make(plotter.XYs, len(row.Result.WorstTTFT))
		for i, millis := range row.Result.WorstTTFT {
			points[i] = plotter.XY{X: float64(i), Y: millis}
		}
		lines = append(lines, row.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Annotate(err, "rendering the plot")
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Annotate(err, "rendering the plot")
	}
	_, err = canvas.WriteTo(w)
	return errors.Annotate(err, "writing the plot")
}

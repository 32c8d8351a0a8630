package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/tool/bench"
	"github.com/cicadamill/cicadamill/internal/tool/judge"
	"github.com/cicadamill/cicadamill/internal/tool/render"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

type measureCommand struct {
	Site   []string `arg:"--site,separate" help:"deployment to measure: ashaiman or kochi; all when left out" placeholder:"NAME"`
	Load   []string `arg:"--load,separate" help:"load to run; all when left out" placeholder:"NAME"`
	Policy []string `arg:"--policy,separate" help:"policy to run; all when left out" placeholder:"NAME"`
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of the loads"`
	AtOnce int      `arg:"--at-once" default:"2" help:"number of runs at the same time"`
	JSON   string   `arg:"--json" help:"file for all figures" placeholder:"FILE"`
	Plots  string   `arg:"--plots" help:"folder for one SVG a load" placeholder:"FOLDER"`
}

// Run simulates the decision slices against the cost model of engines in virtual
// time.
func (a *measureCommand) Run(ctx context.Context, out io.Writer) error {
	var loads []synth.Load
	for _, site := range []synth.Site{synth.Ashaiman(), synth.Kochi()} {
		if !selected(a.Site, site.Name) {
			continue
		}
		for _, load := range synth.Loads(site, a.Seed) {
			if selected(a.Load, load.Name) {
				loads = append(loads, load)
			}
		}
	}
	policies := slices.DeleteFunc(bench.Policies(), func(p bench.Policy) bool { return !selected(a.Policy, p.Name) })
	rows, err := bench.Run(ctx, loads, policies, a.AtOnce)
	if err != nil {
		return errors.Trace(err)
	}
	if err := render.Table(out, rows); err != nil {
		return errors.Trace(err)
	}
	if err := render.Verdicts(out, judge.Verdicts(rows, "home")); err != nil {
		return errors.Trace(err)
	}
	if a.JSON != "" {
		if err := writeFile(a.JSON, func(w io.Writer) error { return render.JSON(w, rows) }); err != nil {
			return errors.Trace(err)
		}
	}
	if a.Plots == "" {
		return nil
	}
	for _, load := range loads {
		path := filepath.Join(a.Plots, load.Site.Name+"-"+load.Name+".svg")
		if err := writeFile(path, func(w io.Writer) error { return render.Plot(w, rows, load.Site.Name, load.Name) }); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Annotate(err, "creating a file")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Annotate(file.Close(), "closing a file")
}

package world

import "github.com/cicadamill/cicadamill/internal/route/cell"

// gossip lets every decider hear what the others of its application have in
// flight, one hop late.
func (w *World) gossip() {
	for _, app := range w.load.Site.Apps {
		desks := w.cells[app.Name]
		sums := map[string]cell.Heard{}
		own := make([][]cell.Flight, len(desks))
		for i, d := range desks {
			if teller, ok := d.decider.(Teller); ok {
				own[i] = teller.Flights()
			}
			for _, f := range own[i] {
				sum := sums[f.Target]
				sums[f.Target] = cell.Heard{Target: f.Target, Prefill: sum.Prefill + f.Prefill, Calls: sum.Calls + f.Calls}
			}
		}
		w.after(hop, func() {
			for i, d := range desks {
				for _, f := range own[i] {
					sum := sums[f.Target]
					w.tell(d, cell.Heard{Target: f.Target, Prefill: sum.Prefill - f.Prefill, Calls: sum.Calls - f.Calls})
				}
			}
		})
	}
	w.after(w.options.Gossip, w.gossip)
}

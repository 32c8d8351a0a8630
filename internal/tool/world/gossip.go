package world

import "github.com/cicadamill/cicadamill/internal/route/cell"

// gossip sends every decider the in-flight load of the other deciders of its
// application, delayed by one hop.
func (w *World) gossip() {
	for _, app := range w.load.Site.Apps {
		instances := w.deciders[app.Name]
		totals := map[string]cell.PeerLoad{}
		flights := make([][]cell.EngineLoad, len(instances))
		for i, d := range instances {
			if sharer, ok := d.decider.(Teller); ok {
				flights[i] = sharer.Flights()
			}
			for _, f := range flights[i] {
				sum := totals[f.Target]
				totals[f.Target] = cell.PeerLoad{Target: f.Target, Prefill: sum.Prefill + f.Prefill, Calls: sum.Calls + f.Calls}
			}
		}
		w.after(hopDelay, func() {
			for i, d := range instances {
				for _, f := range flights[i] {
					sum := totals[f.Target]
					w.deliver(d, cell.PeerLoad{Target: f.Target, Prefill: sum.Prefill - f.Prefill, Calls: sum.Calls - f.Calls})
				}
			}
		})
	}
	w.after(w.options.Gossip, w.gossip)
}

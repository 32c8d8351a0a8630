package simul

import "github.com/cicadamill/cicadamill/internal/route/cell"

// gossip sends every decider the in-flight load of the other deciders of its
// application, delayed by one hop.
func (s *Simulation) gossip() {
	for _, app := range s.load.Site.Apps {
		instances := s.deciders[app.Name]
		totals := map[string]cell.PeerLoad{}
		flights := make([][]cell.EngineLoad, len(instances))
		for i, d := range instances {
			if sharer, ok := d.decider.(LoadSharer); ok {
				flights[i] = sharer.Flights()
			}
			for _, f := range flights[i] {
				sum := totals[f.Target]
				totals[f.Target] = cell.PeerLoad{Target: f.Target, Prefill: sum.Prefill + f.Prefill, Calls: sum.Calls + f.Calls}
			}
		}
		s.after(hopDelay, func() {
			for i, d := range instances {
				for _, f := range flights[i] {
					sum := totals[f.Target]
					s.deliver(d, cell.PeerLoad{Target: f.Target, Prefill: sum.Prefill - f.Prefill, Calls: sum.Calls - f.Calls})
				}
			}
		})
	}
	s.after(s.options.GossipInterval, s.gossip)
}

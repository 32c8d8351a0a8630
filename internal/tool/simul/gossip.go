package simul

import "github.com/cicadamill/cicadamill/internal/route/cell"

// gossip sends every decider the in-flight load of the other deciders of its
// application, delayed by one hop.
func (s *Simulation) gossip() {
	for _, app := range s.load.Site.Apps {
		instances := s.deciders[app.Name]
		totals := map[string]cell.PeerLoad{}
		loads := make([][]cell.EngineLoad, len(instances))
		for i, d := range instances {
			if sharer, ok := d.decider.(LoadSharer); ok {
				loads[i] = sharer.EngineLoads()
			}
			for _, load := range loads[i] {
				sum := totals[load.Target]
				totals[load.Target] = cell.PeerLoad{Target: load.Target, Prefill: sum.Prefill + load.Prefill, Calls: sum.Calls + load.Calls}
			}
		}
		s.after(hopDelay, func() {
			for i, d := range instances {
				for _, load := range loads[i] {
					sum := totals[load.Target]
					s.deliver(d, cell.PeerLoad{Target: load.Target, Prefill: sum.Prefill - load.Prefill, Calls: sum.Calls - load.Calls})
				}
			}
		})
	}
	s.after(s.options.GossipInterval, s.gossip)
}

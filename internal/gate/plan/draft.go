package plan

// LowestRank is the lowest priority of a route or workspace; 0 is the highest. Engines
// accept no value beyond it.
const LowestRank = 9

// UnknownKind is the kind of a drafted route whose kind is not known. No [Plan] has it.
const UnknownKind Kind = -1

// Draft holds the entries of a configuration in the order in which the operators wrote
// them. Unlike a [Plan] it can hold entries that replace each other or are invalid.
type Draft struct {
	Version    uint64
	Routes     []RouteDraft
	Services   []ServiceDraft
	Workspaces []WorkspaceDraft
	Limits     Limits
}

// RouteDraft is one route of a [Draft].
type RouteDraft struct {
	Route
	// HasService is true if the first split stands for the one service that the route
	// names outside of its list of splits.
	HasService bool
}

// ServiceDraft is one service or store of a [Draft], which share a list.
type ServiceDraft struct {
	// Service has only a name if the entry is a store.
	Service Service
	// Store is set if the entry is a store.
	Store *Store
}

// WorkspaceDraft is one workspace of a [Draft].
type WorkspaceDraft struct {
	Workspace
	// HasPriority is true if a priority is given, even a negative one.
	HasPriority bool
	// Written is the limit as it was written; Limit is zero if it has no effect.
	Written Limit
	// UnknownUnit is true if the unit of the limit is not known.
	UnknownUnit bool
	// Keys are the API keys.
	Keys []string
}

// Plan returns the configuration that the draft describes. Of several services with the
// same name, and of several workspaces with the same key, the last one counts.
func (d Draft) Plan() *Plan {
	p := Plan{Version: d.Version, Services: map[string]Service{}, HasWorkspaces: len(d.Workspaces) > 0, Limits: d.Limits}
	for _, s := range d.Services {
		if s.Store != nil {
			p.Stores = append(p.Stores, *s.Store)
			continue
		}
		p.Services[s.Service.Name] = s.Service
	}
	routes := make([]Route, 0, len(d.Routes))
	for _, r := range d.Routes {
		routes = append(routes, r.Route)
	}
	keys := map[string]Workspace{}
	for _, w := range d.Workspaces {
		p.Workspaces = append(p.Workspaces, w.Workspace)
		for _, key := range w.Keys {
			keys[key] = w.Workspace
		}
	}
	return New(p, routes, keys)
}

// Replaces reports whether a host that has the configuration old, which may be nil,
// applies p.
func (p *Plan) Replaces(old *Plan) bool { return old == nil || p.Version > old.Version }

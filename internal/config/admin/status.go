package admin

// Status is what one node knows of itself and the fleet.
type Status struct {
	// Node is the node that answers.
	Node string `json:"node"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Ready is false while it stops.
	Ready bool `json:"ready"`
	// Site names the deployment.
	Site string `json:"site"`
	// Version is the configuration in force on this node.
	Version uint64 `json:"version"`
	// Flag is what only an operator can mend; empty means nothing.
	Flag string `json:"flag,omitempty"`
	// Nodes are the nodes of the fleet as this one sees them.
	Nodes []Node `json:"nodes"`
	// Targets are the engines.
	Targets []Target `json:"targets"`
	// Workspaces are the loads that this node carries as entry.
	Workspaces []Load `json:"workspaces"`
}

// Node is one node of the fleet.
type Node struct {
	// Name is the node's name.
	Name string `json:"name"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Address is where other nodes reach it.
	Address string `json:"address,omitempty"`
	// State is "alive", "suspect", "leaving" or "dead".
	State string `json:"state"`
	// Version is the configuration in force on it.
	Version uint64 `json:"version"`
}

// Target is one engine.
type Target struct {
	// Name is the engine's name.
	Name string `json:"name"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Model is the model that it should serve.
	Model string `json:"model"`
	// Incarnation is the start that was seen last; empty means never seen here.
	Incarnation string `json:"incarnation,omitempty"`
	// WeightVersion is the version that it said it serves.
	WeightVersion string `json:"weightVersion,omitempty"`
	// Leaving is true when it gets no new work.
	Leaving bool `json:"leaving"`
	// Running and Waiting are the engine's own lagging report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Load is what one workspace has under way.
type Load struct {
	// Workspace is the workspace, or "other" for all without a label.
	Workspace string `json:"workspace"`
	// Class is "interactive" or "batch".
	Class string `json:"class"`
	// Running is the number of requests under way.
	Running int64 `json:"running"`
	// Requests counts the requests since the node started.
	Requests int64 `json:"requests"`
}

package admin

// Status is the status of one node and its view of the fleet.
type Status struct {
	// Node is the name of the node.
	Node       string `json:"node"`
	DataCentre string `json:"dataCentre"`
	// Ready is false while the node shuts down.
	Ready bool `json:"ready"`
	// Site names the deployment.
	Site string `json:"site"`
	// Version is the version of the active configuration on this node.
	Version uint64 `json:"version"`
	// Flag describes a condition that an operator must resolve; empty means none.
	Flag string `json:"flag,omitempty"`
	// Nodes are the known nodes of the fleet.
	Nodes []Node `json:"nodes"`
	// Targets are the engines.
	Targets []Target `json:"targets"`
	// Workspaces are the loads of the requests that callers sent to this node.
	Workspaces []WorkspaceLoad `json:"workspaces"`
}

// Node is one node of the fleet.
type Node struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Address is the node's address for other nodes.
	Address string `json:"address,omitempty"`
	// State is "alive", "suspect", "leaving" or "dead".
	State string `json:"state"`
	// Version is the version of the active configuration on the node.
	Version uint64 `json:"version"`
}

// Target is one engine.
type Target struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Model is the model that the engine should serve.
	Model string `json:"model"`
	// Incarnation identifies the last known start of the engine process; empty means
	// that this node has never seen the engine.
	Incarnation string `json:"incarnation,omitempty"`
	// WeightVersion is the weight version that the engine reported last.
	WeightVersion string `json:"weightVersion,omitempty"`
	// Leaving is true if the engine gets no new requests.
	Leaving bool `json:"leaving"`
	// Running and Waiting are the request counts that the engine reported last. They
	// lag behind the actual counts.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// WorkspaceLoad is the load of one workspace on one node.
type WorkspaceLoad struct {
	// Workspace is the name of the workspace, or "other" for all workspaces without a
	// metric label of their own.
	Workspace string `json:"workspace"`
	// Class is "interactive" or "batch".
	Class string `json:"class"`
	// Running is the number of requests in progress.
	Running int64 `json:"running"`
	// Requests is the number of requests since the node started.
	Requests int64 `json:"requests"`
}

package engine

// Order changes what an engine serves. It is one of [LoadModel], [LoadAdapter]
// or [SetRole].
type Order interface{ order() }

// LoadModel makes an engine load a model's weights.
type LoadModel struct {
	// Fence is the fencing token of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Model is the name of the model.
	Model string `json:"model"`
	// WeightVersion is the version of its weights.
	WeightVersion string `json:"weightVersion"`
}

// LoadAdapter makes an engine load an adapter in addition to its model.
type LoadAdapter struct {
	// Fence is the fencing token of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Adapter is the name of the adapter.
	Adapter string `json:"adapter"`
	// Version is the version of the adapter.
	Version string `json:"version"`
}

// SetRole changes which work an engine accepts.
type SetRole struct {
	// Fence is the fencing token of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Role is "serve", "drain" or "standby".
	Role string `json:"role"`
}

func (LoadModel) order()   {}
func (LoadAdapter) order() {}
func (SetRole) order()     {}

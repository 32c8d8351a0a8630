// Package site defines the configuration of a deployment: its services, engines and
// workspaces, and what each depends on. Operators edit it as one text.
package site

// Config is a parsed configuration. It must not be modified after parsing.
type Config struct {
	// Site names the deployment.
	Site string `json:"site"`
	// Regions group data centres that are close to each other.
	Regions []Region `json:"regions"`
	// Weights balance the goals of routing.
	Weights Weights  `json:"weights"`
	Models  []Model  `json:"models"`
	Engines []Engine `json:"engines"`
	// KVStore is the store for exported cache blocks; nil means none.
	KVStore *KVStore `json:"kvStore,omitempty"`
	// WeightStore limits the loading of weights; nil means the defaults.
	WeightStore *WeightStore `json:"weightStore,omitempty"`
	// Applications are the values that callers may send in the "model" field.
	Applications []Application `json:"applications"`
	// Services are the services other than model engines.
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
}

// Region is a group of data centres.
type Region struct {
	Name string `json:"name"`
	// DataCentres are the names of the region's data centres.
	DataCentres []string `json:"dataCentres"`
}

// Weights balance the goals of routing. Only their ratio matters.
type Weights struct {
	// TailTTFT is the weight of the tail latency to the first token.
	TailTTFT float64 `json:"tailTtft"`
	// Recomputation is the weight of prompt tokens that are computed more than once.
	Recomputation float64 `json:"recomputation"`
}

// Model is a model with its adapters.
type Model struct {
	Name string `json:"name"`
	// WeightVersion is the version of the weights that engines should serve.
	WeightVersion string `json:"weightVersion"`
	// BlockTokens is the length of a cached block in tokens.
	BlockTokens int       `json:"blockTokens"`
	Adapters    []Adapter `json:"adapters,omitempty"`
}

// Adapter is a small set of weights that is applied on top of a model's.
type Adapter struct {
	Name string `json:"name"`
	// Version is the version that engines should serve.
	Version string `json:"version"`
}

// Engine is a server process that runs a model.
type Engine struct {
	Name string `json:"name"`
	// Address is the engine's IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Model is the name of the model that the engine serves.
	Model string `json:"model"`
	// Capacity is the engine's speed relative to other engines; zero means one.
	Capacity float64 `json:"capacity,omitempty"`
	// CacheBlocks is the number of blocks that fit in the engine's cache.
	CacheBlocks int `json:"cacheBlocks,omitempty"`
	// ChecksFence is true if the engine rejects orders with an old fencing token.
	ChecksFence bool `json:"checksFence,omitempty"`
	// Role is the role that the engine should have: "serve", "drain" or "standby";
	// empty means "serve".
	Role string `json:"role,omitempty"`
}

// KVStore is a store for exported blocks of the engines' KV caches.
type KVStore struct {
	Name string `json:"name"`
	// Address is the store's IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// WeightStore limits how fast the engines of the site load weights from their store.
type WeightStore struct {
	// LoadsAtOnce is the maximum number of engines that load at the same time; zero
	// means two.
	LoadsAtOnce int `json:"loadsAtOnce,omitempty"`
	// LoadsPerMinute is the maximum number of loads that start in a minute; zero
	// means no limit.
	LoadsPerMinute float64 `json:"loadsPerMinute,omitempty"`
}

// Application maps a name that callers use to a model and its engines.
type Application struct {
	// Name is what callers send in the "model" field.
	Name string `json:"name"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Adapter is the name of an adapter of the model; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Engines are the names of the engines that may serve the application.
	Engines []string `json:"engines"`
	// MinServing is the number of engines that must keep serving while others load
	// weights; zero means one.
	MinServing int `json:"minServing,omitempty"`
	// DependsOn are the names of the services and stores that the application needs.
	DependsOn []string `json:"dependsOn,omitempty"`
}

// Service is an HTTP service other than a model engine.
type Service struct {
	// Name is the service's name and a segment of its URL path.
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
	// DependsOn are the names of the services and stores that the service needs.
	DependsOn []string `json:"dependsOn,omitempty"`
	// Calls lists the calls and which of them are idempotent. A call that no entry
	// matches is idempotent only if its method is GET or HEAD.
	Calls []Call `json:"calls,omitempty"`
	// TimeoutMillis is the timeout of one call, in milliseconds; zero means the
	// default.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
}

// Target is a back end of a service.
type Target struct {
	Name string `json:"name"`
	// Address is the target's IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Call describes the calls to a service that match a method and a path.
type Call struct {
	// Method is the HTTP method, in capital letters.
	Method string `json:"method"`
	// Path is the path below the service, as a pattern of [http.ServeMux].
	Path string `json:"path"`
	// Idempotent is true if the call may be repeated safely.
	Idempotent bool `json:"idempotent"`
}

// Workspace is a customer.
type Workspace struct {
	Name string `json:"name"`
	// Share is the weight of the workspace in fair scheduling when all engines are
	// busy; zero means one.
	Share float64 `json:"share,omitempty"`
	// Class is "interactive" or "batch"; empty means "interactive".
	Class string `json:"class,omitempty"`
	// KeyHashes are the SHA-256 hashes of the workspace's bearer keys, in
	// hexadecimal.
	KeyHashes []string `json:"keyHashes"`
	// Applications are the names of the applications that the workspace may call.
	Applications []string `json:"applications"`
	// Services are the names of the services that the workspace may call.
	Services []string `json:"services,omitempty"`
}

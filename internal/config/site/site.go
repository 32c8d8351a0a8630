// Package site is the operators' configuration: the one text that lists every
// service, engine and workspace of a deployment and what each depends on.
package site

// Config is a parsed configuration. It is never changed after parsing.
type Config struct {
	// Site names the deployment.
	Site string `json:"site"`
	// Regions group the data centres that lie close together.
	Regions []Region `json:"regions"`
	// Weights say what matters most at this site.
	Weights Weights `json:"weights"`
	// Models are the models that engines serve.
	Models []Model `json:"models"`
	// Engines are the model engines.
	Engines []Engine `json:"engines"`
	// KVStore is the store for exported cache blocks; nil means none.
	KVStore *KVStore `json:"kvStore,omitempty"`
	// WeightStore is where engines load weights from; nil means the defaults.
	WeightStore *WeightStore `json:"weightStore,omitempty"`
	// Applications are what callers name in the "model" field.
	Applications []Application `json:"applications"`
	// Services are the plain services beside the engines.
	Services []Service `json:"services"`
	// Workspaces are the customers.
	Workspaces []Workspace `json:"workspaces"`
}

// Region is a group of data centres.
type Region struct {
	// Name is the region's name.
	Name string `json:"name"`
	// DataCentres are the names of its data centres.
	DataCentres []string `json:"dataCentres"`
}

// Weights balance the aims of a site. Only their ratio matters.
type Weights struct {
	// TailTTFT is the weight of the tail of the time to first token.
	TailTTFT float64 `json:"tailTtft"`
	// Recomputation is the weight of prompt tokens computed twice.
	Recomputation float64 `json:"recomputation"`
}

// Model is a model with its adapters.
type Model struct {
	// Name is the model's name.
	Name string `json:"name"`
	// WeightVersion is the version of the weights that should be served.
	WeightVersion string `json:"weightVersion"`
	// BlockTokens is the length of a cached block in tokens.
	BlockTokens int `json:"blockTokens"`
	// Adapters are the adapters that may run on the model.
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a small set of weights that runs on top of a model.
type Adapter struct {
	// Name is the adapter's name.
	Name string `json:"name"`
	// Version is the version that should be served.
	Version string `json:"version"`
}

// Engine is one model engine.
type Engine struct {
	// Name is the engine's name.
	Name string `json:"name"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Model is the model that it serves.
	Model string `json:"model"`
	// Capacity is its speed relative to other engines; zero counts as one.
	Capacity float64 `json:"capacity,omitempty"`
	// CacheBlocks is the number of blocks that fit in its cache.
	CacheBlocks int `json:"cacheBlocks,omitempty"`
	// ChecksFence is true when it refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty"`
	// Role is the role that it should have: "serve", "drain" or "standby";
	// empty means serve.
	Role string `json:"role,omitempty"`
}

// KVStore keeps exported cache blocks.
type KVStore struct {
	// Name is the store's name.
	Name string `json:"name"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
}

// WeightStore holds the weights that engines load. It is rate-limited.
type WeightStore struct {
	// LoadsAtOnce is how many engines of the site may load at the same time;
	// zero means two.
	LoadsAtOnce int `json:"loadsAtOnce,omitempty"`
	// LoadsPerMinute bounds the loads that begin in a minute; zero means no bound.
	LoadsPerMinute float64 `json:"loadsPerMinute,omitempty"`
}

// Application binds a name that callers use to engines.
type Application struct {
	// Name is what callers put in the "model" field.
	Name string `json:"name"`
	// Model is the model that answers.
	Model string `json:"model"`
	// Adapter is the adapter to run with; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Engines are the names of the engines that may answer.
	Engines []string `json:"engines"`
	// MinServing is how many of its engines must serve while others load;
	// zero means one.
	MinServing int `json:"minServing,omitempty"`
	// DependsOn are the services and stores that the application needs.
	DependsOn []string `json:"dependsOn,omitempty"`
}

// Service is a plain service.
type Service struct {
	// Name is the service's name, a part of its path.
	Name string `json:"name"`
	// Targets are the back ends that serve it.
	Targets []Target `json:"targets"`
	// DependsOn are the services that it needs.
	DependsOn []string `json:"dependsOn,omitempty"`
	// Calls say which calls exist and which may be repeated. A call that no
	// entry matches is not idempotent, unless its method is GET or HEAD.
	Calls []Call `json:"calls,omitempty"`
	// TimeoutMillis bounds one call; zero means the default.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
}

// Target is one back end of a plain service.
type Target struct {
	// Name is the target's name.
	Name string `json:"name"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
}

// Call describes one kind of call to a plain service.
type Call struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path below the service, as a pattern of [http.ServeMux].
	Path string `json:"path"`
	// Idempotent is true when the call may be repeated.
	Idempotent bool `json:"idempotent"`
}

// Workspace is one customer.
type Workspace struct {
	// Name is the workspace's name.
	Name string `json:"name"`
	// Share is its part of the engines when all are busy; zero counts as one.
	Share float64 `json:"share,omitempty"`
	// Class is "interactive" or "batch"; empty means interactive.
	Class string `json:"class,omitempty"`
	// KeyHashes are the SHA-256 hashes of its bearer keys, in hexadecimal.
	KeyHashes []string `json:"keyHashes"`
	// Applications are the applications that it may call.
	Applications []string `json:"applications"`
	// Services are the plain services that it may call.
	Services []string `json:"services,omitempty"`
}

package sizing

// Fleet is the size that a deployment is planned for.
type Fleet struct {
	// Nodes is the number of router processes.
	Nodes float64
	// Engines is the number of model engines.
	Engines float64
	// Requests is the peak of chat requests in the whole fleet, per second.
	Requests float64
	// Tokens is the peak of output tokens in the whole fleet, per second.
	Tokens float64
	// CacheEvents is the number of cache events of all engines, per second.
	CacheEvents float64
	// CachedBlocks is the number of blocks in all engines' caches.
	CachedBlocks float64
	// Workspaces is the number of customers.
	Workspaces float64
	// Models is the number of models in use.
	Models float64
	// DataCentres is the number of data centres.
	DataCentres float64
	// Regions is the number of regions.
	Regions float64
	// ConfigChanges is the number of configuration changes, per day.
	ConfigChanges float64
	// Restarts is the number of hosts restarted or replaced, per day.
	Restarts float64
	// Failures is the number of hosts that fail, per day.
	Failures float64
	// TableWrites is what the platform's table carries, per second.
	TableWrites float64
	// TableReads is what the platform's table carries, per second.
	TableReads float64
}

// Limits is what control may cost a node.
type Limits struct {
	// Core is the processor time as a part of one core.
	Core float64
	// Memory is the memory in bytes.
	Memory float64
	// Network is the traffic in bytes per second.
	Network float64
}

// The control budget of a node.
const (
	limitCore    = 0.013
	limitMemory  = 128 << 20
	limitNetwork = 8 << 10
)

// Control returns the control budget of a node.
func Control() Limits {
	return Limits{Core: limitCore, Memory: limitMemory, Network: limitNetwork}
}

// TwoYears returns the size planned for two years from now.
func TwoYears() Fleet {
	return Fleet{
		Nodes: 480, Engines: 11_000, Requests: 22_000, Tokens: 7_100_000,
		CacheEvents: 3_900_000, CachedBlocks: 1_100_000_000, Workspaces: 2_600, Models: 6,
		DataCentres: 9, Regions: 4, ConfigChanges: 16_000, Restarts: 3_900, Failures: 130,
		TableWrites: 300, TableReads: 2_000,
	}
}

// Today returns the larger of the two deployments of today.
func Today() Fleet {
	return Fleet{
		Nodes: 8, Engines: 15, Requests: 30, Tokens: 9_700,
		CacheEvents: 5_300, CachedBlocks: 1_500_000, Workspaces: 8, Models: 2,
		DataCentres: 3, Regions: 1, ConfigChanges: 20, Restarts: 16, Failures: 1,
		TableWrites: 300, TableReads: 2_000,
	}
}

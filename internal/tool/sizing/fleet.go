package sizing

// Fleet describes the size and load of a deployment.
type Fleet struct {
	// Nodes is the number of router processes.
	Nodes float64
	// Engines is the number of model engines.
	Engines float64
	// Requests is the peak rate of chat requests of the whole fleet, per second.
	Requests float64
	// Tokens is the peak rate of output tokens of the whole fleet, per second.
	Tokens float64
	// CacheEvents is the rate of cache events of all engines, per second.
	CacheEvents float64
	// CachedBlocks is the number of blocks in all engines' caches.
	CachedBlocks float64
	Workspaces   float64
	Models       float64
	DataCentres  float64
	Regions      float64
	// ConfigChanges is the number of configuration changes per day.
	ConfigChanges float64
	// Restarts is the number of hosts restarted or replaced per day.
	Restarts float64
	// Failures is the number of host failures per day.
	Failures float64
	// TableWrites is the number of writes per second that the platform's table
	// sustains.
	TableWrites float64
	// TableReads is the number of reads per second that the platform's table
	// sustains.
	TableReads float64
}

// Limits bounds the resources that control work may use on a node.
type Limits struct {
	// Core is the CPU time as a fraction of one core.
	Core float64
	// Memory is in bytes.
	Memory float64
	// Network is in bytes per second.
	Network float64
}

// The control budget of a node.
const (
	limitCore    = 0.013
	limitMemory  = 128 << 20
	limitNetwork = 8 << 10
)

// ControlBudget returns the control budget of a node.
func ControlBudget() Limits {
	return Limits{Core: limitCore, Memory: limitMemory, Network: limitNetwork}
}

// TwoYears returns the fleet size planned for two years from now.
func TwoYears() Fleet {
	return Fleet{
		Nodes: 480, Engines: 11_000, Requests: 22_000, Tokens: 7_100_000,
		CacheEvents: 3_900_000, CachedBlocks: 1_100_000_000, Workspaces: 2_600, Models: 6,
		DataCentres: 9, Regions: 4, ConfigChanges: 16_000, Restarts: 3_900, Failures: 130,
		TableWrites: 300, TableReads: 2_000,
	}
}

// Today returns the size of the larger of the two current deployments.
func Today() Fleet {
	return Fleet{
		Nodes: 8, Engines: 15, Requests: 30, Tokens: 9_700,
		CacheEvents: 5_300, CachedBlocks: 1_500_000, Workspaces: 8, Models: 2,
		DataCentres: 3, Regions: 1, ConfigChanges: 20, Restarts: 16, Failures: 1,
		TableWrites: 300, TableReads: 2_000,
	}
}

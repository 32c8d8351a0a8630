package sizing

// table estimates the reads and writes of the whole fleet on the platform's
// table, by use.
func (e *estimator) table() []TableLoad {
	return []TableLoad{
		{Use: "calls that must not repeat", Writes: e.effectsPerSecond() * e.slope("effectTransactions")},
		{Use: "sweep of expired calls", Writes: 2 * e.effectsPerSecond() / e.slope("sweepPage"), Reads: 2 * e.fleet.Nodes / secondsPerSweep},
		{Use: "configuration head", Reads: e.slope("configReads")},
		{Use: "configuration changes", Writes: e.changesPerSecond(), Reads: 2 * e.changesPerSecond()},
		{Use: "leases", Writes: e.slope("leaseWrites"), Reads: e.fleet.Nodes * e.slope("leaseReads")},
	}
}

// secondsPerSweep is the interval at which each node sweeps expired calls.
const secondsPerSweep = 60

// scenarios estimates the traffic at one node caused by restarts, failures and
// network partitions.
func (e *estimator) scenarios() []Scenario {
	rackNodes := 20.0
	dataCentreNodes := e.fleet.Nodes / e.fleet.DataCentres
	memberList := e.fleet.Nodes * e.slope("memberEntry")
	spareNetwork := limitNetwork - e.slope("gossipBytes")
	return []Scenario{
		{Event: "an ordinary day's restarts", Moves: "each restarted node takes the list of nodes and the configuration", Bytes: memberList + e.slope("configWhole"), Seconds: (memberList + e.slope("configWhole")) / startupRate},
		{Event: "a rack of 20 nodes", Moves: "20 entries on every node; the rack's cells move to their successors", Bytes: rackNodes * e.slope("memberEntry"), Seconds: rackNodes * e.slope("memberEntry") / spareNetwork},
		{Event: "a data centre", Moves: "its nodes' entries on every node; its cells go with it", Bytes: dataCentreNodes * e.slope("memberEntry"), Seconds: dataCentreNodes * e.slope("memberEntry") / spareNetwork},
		{Event: "a region cut off and back", Moves: "entries of all nodes beyond the cut, twice", Bytes: 2 * memberList, Seconds: 2 * memberList / spareNetwork},
	}
}

// startupRate is the rate in bytes per second at which a starting node fetches
// the member list and the configuration. It may exceed the control budget,
// which is a mean over time.
const startupRate = 10 << 20

package sizing

// table shares out the platform's table.
func (a *arithmetic) table() []Share {
	return []Share{
		{Use: "calls that must not repeat", Writes: a.effects() * a.of("effectTransactions")},
		{Use: "sweep of expired calls", Writes: 2 * a.effects() / a.of("sweepPage"), Reads: 2 * a.fleet.Nodes / secondsPerSweep},
		{Use: "configuration head", Reads: a.of("configReads")},
		{Use: "configuration changes", Writes: a.changes(), Reads: 2 * a.changes()},
		{Use: "leases", Writes: a.of("leaseWrites"), Reads: a.fleet.Nodes * a.of("leaseReads")},
	}
}

const secondsPerSweep = 60

// days works out the worst days.
func (a *arithmetic) days() []Day {
	rack := 20.0
	dataCentre := a.fleet.Nodes / a.fleet.DataCentres
	enter := a.fleet.Nodes * a.of("memberEntry")
	free := limitNetwork - a.of("gossipBytes")
	return []Day{
		{Event: "an ordinary day's restarts", Moves: "each restarted node takes the list of nodes and the configuration", Bytes: enter + a.of("configWhole"), Seconds: (enter + a.of("configWhole")) / wholeRate},
		{Event: "a rack of 20 nodes", Moves: "20 entries on every node; the rack's cells move to their successors", Bytes: rack * a.of("memberEntry"), Seconds: rack * a.of("memberEntry") / free},
		{Event: "a data centre", Moves: "its nodes' entries on every node; its cells go with it", Bytes: dataCentre * a.of("memberEntry"), Seconds: dataCentre * a.of("memberEntry") / free},
		{Event: "a region cut off and back", Moves: "entries of all nodes beyond the cut, twice", Bytes: 2 * enter, Seconds: 2 * enter / free},
	}
}

// wholeRate is how fast a starting node takes a whole configuration; it is not
// held to the budget of control, which is a mean over time.
const wholeRate = 10 << 20

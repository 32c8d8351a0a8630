package sizing

// entry estimates the cost of accepting requests: looking up the workspace,
// choosing the cell and relaying the response.
func (e *estimator) entry() Role {
	decide := e.slope("keyLookup") + e.slope("cellChoice")
	relay := e.perNode(e.fleet.Tokens) * e.slope("relayChunk")
	hash := e.requestsPerNode() * promptBytes / kilobyte * e.slope("hashPrompt")
	return Role{
		Name: "entry", Mechanism: "hash chain, computed cell and home, relay",
		State: "open streams; an index of cells",
		Control: Cost{
			Core: e.requestsPerNode() * decide / nanos, Memory: e.slope("groupEngine")*e.fleet.Engines + e.slope("keyWorkspace")*e.fleet.Workspaces,
			Messages: e.requestsPerNode(),
		},
		Data: Cost{
			Core: (relay + hash) / nanos, Memory: e.streamsPerNode() * e.slope("streamState") * hopsPerRequest,
			Network: 2 * hopsPerRequest * (e.requestsPerNode()*promptBytes + e.perNode(e.fleet.Tokens)*e.slope("chunkBytes")),
		},
	}
}

// home estimates the cost of routing decisions for the engines of a node's
// cells, on the node with the most engines.
func (e *estimator) home() Role {
	requests := e.requestsPerNode() * e.imbalance()
	return Role{
		Name: "cell home", Mechanism: "one decider a cell, exact counts in flight",
		State:   "requests in flight, levels of prefixes, engines' known blocks, all bounded",
		Control: Cost{Core: requests * e.slope("cellRequest") / nanos, Memory: e.slope("cellState"), Messages: requests},
	}
}

// knowledge estimates the cost of polling load reports. Cache events are not
// counted: a node skips the event feed when it is large.
func (e *estimator) knowledge() Role {
	polls := e.busiestEngines() / loadInterval
	return Role{
		Name: "cache knowledge", Mechanism: "own history and answer headers; paced load reports; event feed left alone when large",
		State: "counted with the cell home",
		Control: Cost{
			Core: polls * (e.slope("loadReport") + e.slope("pollCall")) / nanos, Network: min(polls*e.slope("loadBytes"), e.slope("pollBudget")),
			Messages: polls,
		},
	}
}

// membership estimates the cost of gossiping the list of nodes and the marks of
// draining targets.
func (e *estimator) membership() Role {
	exchanges := e.slope("gossipExchanges")
	return Role{
		Name: "membership", Mechanism: "probes and notes with a fixed fan-out and a bounded number of entries",
		State: "one entry a node, marks of leaving targets",
		Control: Cost{
			Core:   (exchanges*2*(e.slope("gossipReceive")+e.slope("gossipCall")) + 10*e.slope("gossipTick")) / nanos,
			Memory: e.fleet.Nodes * e.slope("memberState"), Network: e.slope("gossipBytes"), Messages: 2 * exchanges,
		},
	}
}

// configuration estimates the cost of distributing and applying configuration
// changes.
func (e *estimator) configuration() Role {
	derive := e.slope("deriveShares") + e.slope("deriveKeys") + engineChanges*e.slope("deriveEngines")
	return Role{
		Name: "configuration", Mechanism: "one row by compare-and-set; changes pass between nodes; a slow poll as the floor",
		State: "the configuration in force and the one before, 64 changes",
		Control: Cost{
			Core: e.changesPerSecond() * (e.slope("configApply") + derive) / nanos, Memory: e.slope("configMemory"),
			Network: e.changesPerSecond() * e.slope("configChange") * applyFanOut, Messages: e.changesPerSecond() * applyFanOut,
		},
	}
}

// ledger estimates the cost of executing non-idempotent calls at most once.
func (e *estimator) ledger() Role {
	effects := e.perNode(e.effectsPerSecond())
	return Role{
		Name: "ledger", Mechanism: "one conditional write before dispatch, many calls in one transaction",
		State:   "calls under way",
		Control: Cost{Memory: effects * effectSeconds * e.slope("effectState")},
		Data:    Cost{Core: effects * e.slope("effectCall") / nanos, Messages: effects},
	}
}

// orders estimates the cost of reconciling what engines serve, on the node that
// holds the lease.
func (e *estimator) orders() Role {
	reports := e.fleet.Engines * e.slope("orderReports")
	return Role{
		Name: "orders", Alone: true, Mechanism: "a lease in the table, level-triggered reconcile",
		State:   "what each engine serves",
		Control: Cost{Core: reports * e.slope("pollCall") / nanos, Network: reports * e.slope("loadBytes"), Messages: reports},
	}
}

// metrics estimates the cost of recording and serving metrics.
func (e *estimator) metrics() Role {
	events := e.perNode(e.fleet.Tokens)
	return Role{
		Name: "metrics", Mechanism: "counters and histograms with a bounded set of labels",
		State:   "series of 32 workspaces and one for all others",
		Control: Cost{Memory: labelledWorkspaces * e.slope("seriesWorkspace"), Network: labelledWorkspaces * e.slope("scrapeWorkspace") * e.slope("scrapeGzip") / scrapeSeconds},
		Data:    Cost{Core: events * e.slope("metricEvent") / nanos},
	}
}

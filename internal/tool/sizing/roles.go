package sizing

// entry takes requests in: it finds the workspace and the cell, and relays.
func (a *arithmetic) entry() Role {
	decide := a.of("keyLookup") + a.of("cellChoice")
	relay := a.perNode(a.fleet.Tokens) * a.of("relayChunk")
	hash := a.requests() * promptBytes / kilobyte * a.of("hashPrompt")
	return Role{
		Name: "entry", Mechanism: "hash chain, computed cell and home, relay",
		State: "open streams; an index of cells",
		Control: Cost{
			Core: a.requests() * decide / nanos, Memory: a.of("groupEngine")*a.fleet.Engines + a.of("keyWorkspace")*a.fleet.Workspaces,
			Messages: a.requests(),
		},
		Data: Cost{
			Core: (relay + hash) / nanos, Memory: a.streams() * a.of("streamState") * hopsPerRequest,
			Network: 2 * hopsPerRequest * (a.requests()*promptBytes + a.perNode(a.fleet.Tokens)*a.of("chunkBytes")),
		},
	}
}

// home decides for the engines of its cells.
func (a *arithmetic) home() Role {
	requests := a.requests() * a.busiest()
	return Role{
		Name: "cell home", Mechanism: "one decider a cell, exact counts in flight",
		State:   "requests in flight, levels of prefixes, engines' known blocks, all bounded",
		Control: Cost{Core: requests * a.of("cellRequest") / nanos, Memory: a.of("cellState"), Messages: requests},
	}
}

// knowledge reads load reports and, where the feed is small, cache events.
func (a *arithmetic) knowledge() Role {
	polls := a.engines() / loadInterval
	return Role{
		Name: "cache knowledge", Mechanism: "own history and answer headers; paced load reports; event feed left alone when large",
		State: "counted with the cell home",
		Control: Cost{
			Core: polls * (a.of("loadReport") + a.of("pollCall")) / nanos, Network: min(polls*a.of("loadBytes"), a.of("pollBudget")),
			Messages: polls,
		},
	}
}

// membership keeps the list of nodes and the marks of leaving targets.
func (a *arithmetic) membership() Role {
	exchanges := a.of("gossipExchanges")
	return Role{
		Name: "membership", Mechanism: "probes and notes with a fixed fan-out and a bounded number of entries",
		State: "one entry a node, marks of leaving targets",
		Control: Cost{
			Core:   (exchanges*2*(a.of("gossipReceive")+a.of("gossipCall")) + 10*a.of("gossipTick")) / nanos,
			Memory: a.fleet.Nodes * a.of("memberState"), Network: a.of("gossipBytes"), Messages: 2 * exchanges,
		},
	}
}

// configuration brings every accepted change into force.
func (a *arithmetic) configuration() Role {
	derive := a.of("deriveShares") + a.of("deriveKeys") + engineChanges*a.of("deriveEngines")
	return Role{
		Name: "configuration", Mechanism: "one row by compare-and-set; changes pass between nodes; a slow poll as the floor",
		State: "the configuration in force and the one before, 64 changes",
		Control: Cost{
			Core: a.changes() * (a.of("configApply") + derive) / nanos, Memory: a.of("configMemory"),
			Network: a.changes() * a.of("configChange") * applyFanOut, Messages: a.changes() * applyFanOut,
		},
	}
}

// ledger keeps calls that must not repeat to one run.
func (a *arithmetic) ledger() Role {
	effects := a.perNode(a.effects())
	return Role{
		Name: "ledger", Mechanism: "one conditional write before dispatch, many calls in one transaction",
		State:   "calls under way",
		Control: Cost{Memory: effects * effectSeconds * a.of("effectState")},
		Data:    Cost{Core: effects * a.of("effectCall") / nanos, Messages: effects},
	}
}

// orders reconciles what engines serve, on the one holder of the lease.
func (a *arithmetic) orders() Role {
	reports := a.fleet.Engines * a.of("orderReports")
	return Role{
		Name: "orders", Alone: true, Mechanism: "a lease in the table, level-triggered reconcile",
		State:   "what each engine serves",
		Control: Cost{Core: reports * a.of("pollCall") / nanos, Network: reports * a.of("loadBytes"), Messages: reports},
	}
}

// metrics counts and is scraped.
func (a *arithmetic) metrics() Role {
	events := a.perNode(a.fleet.Tokens)
	return Role{
		Name: "metrics", Mechanism: "counters and histograms with a bounded set of labels",
		State:   "series of 32 workspaces and one for all others",
		Control: Cost{Memory: labelledWorkspaces * a.of("seriesWorkspace"), Network: labelledWorkspaces * a.of("scrapeWorkspace") * a.of("scrapeGzip") / scrapeSeconds},
		Data:    Cost{Core: events * a.of("metricEvent") / nanos},
	}
}

package sizing

const (
	secondsPerDay = 86_400
	nanos         = 1e9
	kilobyte      = 1 << 10
	// secondsPerToken is the time between two output tokens of a stream.
	secondsPerToken = 0.03
	// promptBytes is the mean length of a prompt, which has three levels of a few
	// parts each.
	promptBytes = 40 * kilobyte
	// hopsPerRequest is the number of nodes that relay a response: the entry node
	// and the home of the cell.
	hopsPerRequest = 2
	// effectsPerRequest is the number of non-idempotent calls per chat request.
	effectsPerRequest = 0.005
	// effectSeconds is the duration of a non-idempotent call.
	effectSeconds = 1
	// loadInterval is the time in seconds between two load reports of an engine.
	loadInterval = 2
	// scrapeSeconds is the interval at which metrics are scraped.
	scrapeSeconds = 15
	// labelledWorkspaces is the number of workspaces with separate histograms.
	labelledWorkspaces = 32
	// applyFanOut is the number of copies of a change that a node sends or
	// receives.
	applyFanOut = 2
	// engineChanges is the fraction of configuration changes that affect engines,
	// applications or regions.
	engineChanges = 0.1
)

// estimator computes the parts of a plan. It keeps the error of the first slope
// that is missing.
type estimator struct {
	fleet  Fleet
	slopes Slopes
	err    error
}

func (e *estimator) slope(name string) float64 {
	found, ok := e.slopes[name]
	if !ok && e.err == nil {
		e.err = &MissingError{Name: name}
	}
	return found.Value
}

// perNode divides a quantity of the whole fleet evenly among its nodes.
func (e *estimator) perNode(total float64) float64 { return total / e.fleet.Nodes }

// imbalance returns the number of engines of the node with the most engines
// relative to the mean.
func (e *estimator) imbalance() float64 { return e.slope("homeImbalance") }

// Estimate computes the plan for a fleet. It returns a [*MissingError] if a required
// slope is missing.
//
//	plan, err := sizing.Estimate(sizing.TwoYears(), slopes)
func Estimate(fleet Fleet, slopes Slopes) (Plan, error) {
	e := &estimator{fleet: fleet, slopes: slopes}
	plan := Plan{
		Fleet: fleet,
		Roles: []Role{
			e.entry(), e.home(), e.knowledge(), e.membership(), e.configuration(), e.ledger(), e.orders(), e.metrics(),
		},
		Table: e.table(),
		Days:  e.scenarios(),
	}
	return plan, e.err
}

func (e *estimator) requestsPerNode() float64 { return e.perNode(e.fleet.Requests) }

// streamsPerNode returns the number of concurrently open streams of a node.
func (e *estimator) streamsPerNode() float64 {
	return e.perNode(e.fleet.Tokens) * secondsPerToken
}

// busiestEngines returns the number of engines of the busiest node.
func (e *estimator) busiestEngines() float64 { return e.perNode(e.fleet.Engines) * e.imbalance() }

func (e *estimator) changesPerSecond() float64 { return e.fleet.ConfigChanges / secondsPerDay }

// effectsPerSecond returns the rate of non-idempotent calls of the whole fleet.
func (e *estimator) effectsPerSecond() float64 { return e.fleet.Requests * effectsPerRequest }

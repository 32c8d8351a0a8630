package sizing

const (
	secondsPerDay   = 86_400
	nanos           = 1e9
	kilobyte        = 1 << 10
	secondsPerToken = 0.03
	// promptBytes is the mean length of a prompt: three levels of a few pieces.
	promptBytes = 40 * kilobyte
	// hopsPerRequest is how many nodes relay an answer: the entry node and the
	// cell's home.
	hopsPerRequest = 2
	// effectsPerRequest is how many calls that must not repeat come with each
	// chat request.
	effectsPerRequest = 0.005
	// effectSeconds is how long such a call is open.
	effectSeconds = 1
	// loadInterval is the time between two load reports of one engine.
	loadInterval = 2
	// scrapeSeconds is the time between two scrapes of the metrics.
	scrapeSeconds = 15
	// labelledWorkspaces is how many workspaces have histograms of their own.
	labelledWorkspaces = 32
	// applyFanOut is how many copies of a change a node sends or receives.
	applyFanOut = 2
	// engineChanges is the part of configuration changes that touch engines,
	// applications or regions.
	engineChanges = 0.1
)

// arithmetic looks slopes up and remembers the first that is missing.
type arithmetic struct {
	fleet  Fleet
	slopes Slopes
	err    error
}

func (a *arithmetic) of(name string) float64 {
	slope, ok := a.slopes[name]
	if !ok && a.err == nil {
		a.err = &MissingError{Name: name}
	}
	return slope.Value
}

// perNode spreads a quantity of the whole fleet over its nodes.
func (a *arithmetic) perNode(whole float64) float64 { return whole / a.fleet.Nodes }

// busiest is how many engines the node with the most looks after, relative to
// the mean.
func (a *arithmetic) busiest() float64 { return a.of("homeImbalance") }

// Work computes the plan of a fleet. It fails with a [*MissingError] when a
// slope that it needs is not recorded.
//
//	plan, err := sizing.Work(sizing.TwoYears(), slopes)
func Work(fleet Fleet, slopes Slopes) (Plan, error) {
	a := &arithmetic{fleet: fleet, slopes: slopes}
	plan := Plan{
		Fleet: fleet,
		Roles: []Role{
			a.entry(), a.home(), a.knowledge(), a.membership(), a.configuration(), a.ledger(), a.orders(), a.metrics(),
		},
		Table: a.table(),
		Days:  a.days(),
	}
	return plan, a.err
}

func (a *arithmetic) requests() float64 { return a.perNode(a.fleet.Requests) }

func (a *arithmetic) streams() float64 {
	return a.perNode(a.fleet.Tokens) * secondsPerToken
}

func (a *arithmetic) engines() float64 { return a.perNode(a.fleet.Engines) * a.busiest() }

func (a *arithmetic) changes() float64 { return a.fleet.ConfigChanges / secondsPerDay }

func (a *arithmetic) effects() float64 { return a.fleet.Requests * effectsPerRequest }

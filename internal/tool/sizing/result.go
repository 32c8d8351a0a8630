package sizing

// Cost is the resource use of a role on one node.
type Cost struct {
	// Core is CPU time as a fraction of one core.
	Core float64
	// Memory is the size of the state in bytes.
	Memory float64
	// Network is traffic in bytes per second, sent and received.
	Network float64
	// Messages is the rate of messages or calls, per second.
	Messages float64
}

func (c Cost) plus(other Cost) Cost {
	return Cost{
		Core:     c.Core + other.Core,
		Memory:   c.Memory + other.Memory,
		Network:  c.Network + other.Network,
		Messages: c.Messages + other.Messages,
	}
}

// Role is one function of a node with its cost at a given fleet size.
type Role struct {
	Name string
	// Mechanism describes how the role is implemented.
	Mechanism string
	// State describes what the role keeps in memory.
	State string
	// Alone is true for a role that a single node performs for the whole fleet.
	// [Plan.Total] excludes its cost.
	Alone bool
	// Control is the cost that counts towards the control budget.
	Control Cost
	// Data is the cost of relaying requests and responses.
	Data Cost
}

// Plan is the capacity estimate for one fleet.
// The JSON output of the capacity command has the field names as keys.
type Plan struct {
	Fleet Fleet
	// Roles are the roles of a node with their costs.
	Roles []Role
	// Table lists the fleet's reads and writes on the platform's table by use.
	Table []TableLoad
	// Days estimate the traffic caused by restarts, failures and partitions.
	Days []Scenario
}

// Total returns the summed cost of the roles that every node performs.
func (p Plan) Total() (control, data Cost) {
	for _, role := range p.Roles {
		if role.Alone {
			continue
		}
		control = control.plus(role.Control)
		data = data.plus(role.Data)
	}
	return control, data
}

// TableLoad is the load of one use of the platform's table by the whole fleet.
type TableLoad struct {
	// Use names the purpose of the reads and writes.
	Use string
	// Reads and Writes are per second.
	Reads, Writes float64
}

// Scenario describes a failure or restart event and the traffic that it causes.
type Scenario struct {
	Event string
	// Moves describes the data that is transferred.
	Moves string
	// Bytes is the amount of data that one node sends and receives.
	Bytes float64
	// Seconds is how long the transfer takes.
	Seconds float64
}

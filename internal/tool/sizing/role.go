package sizing

// Cost is what a role costs one node.
type Cost struct {
	// Core is processor time as a part of one core.
	Core float64
	// Memory is state in bytes.
	Memory float64
	// Network is traffic in bytes per second, sent and received.
	Network float64
	// Messages is the number of messages or calls per second.
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

// Role is one duty of a node with its cost at a fleet's size.
type Role struct {
	// Name is the duty.
	Name string
	// Mechanism is what carries it.
	Mechanism string
	// State is what it remembers.
	State string
	// Alone is true for a duty that one node of the fleet has for all; its cost
	// is not in the sum of every node.
	Alone bool
	// Control is its cost as far as it counts as control.
	Control Cost
	// Data is its cost in carrying requests and answers.
	Data Cost
}

// Plan is the arithmetic for one fleet.
type Plan struct {
	// Fleet is the size.
	Fleet Fleet
	// Roles are the duties of each node.
	Roles []Role
	// Table is how the platform's table is shared out.
	Table []Share
	// Days are the worst days.
	Days []Day
}

// Total returns the sum over the roles that every node has.
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

// Share is one use of the platform's table by the whole fleet.
type Share struct {
	// Use is what reads or writes.
	Use string
	// Reads and Writes are per second.
	Reads, Writes float64
}

// Day is one kind of bad day and what it moves.
type Day struct {
	// Event is what happens.
	Event string
	// Moves is what changes place, in words.
	Moves string
	// Bytes is what one node sends and receives because of it.
	Bytes float64
	// Seconds is how long that takes within the control budget.
	Seconds float64
}

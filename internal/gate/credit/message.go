package credit

import "time"

// Limit is what all nodes together may admit of a workspace's requests.
type Limit struct {
	// Rate is the amount per second, Burst the amount beyond that in any window.
	Rate, Burst float64
	// Slack is a further amount in any window that the operators tolerate.
	Slack float64
}

// Ranks is the number of ranks of requests; 0 is the most urgent.
const Ranks = 10

// Bound is what the operators tolerate of every limit. Log lines have the field names as
// keys.
type Bound struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Excess is the tolerated excess, as a fraction of rate x window + burst.
	Excess float64
	// Slack is the further amount of tokens that is tolerated.
	Slack float64
}

// allowed returns the largest amount that may be admitted in any window.
func (b Bound) allowed(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Excess) + l.Slack
}

// planned returns how much of it nodes plan with.
func (b Bound) planned(l Limit) float64 {
	return (1-margin)*b.allowed(l) - marginBurst*(l.Burst+l.Slack)
}

// Sum adds up the requests of one workspace.
type Sum struct {
	_ struct{} `cbor:",toarray"`
	// Used is the amount admitted in the window, less what didn't run.
	Used int `json:"used,omitempty"`
	// Asked is the amount asked for in shareTime, what was rejected included. It determines
	// the shares. Recent is the amount admitted in recentTime, by which a burst is noticed.
	Asked  int `json:"asked,omitempty"`
	Recent int `json:"recent,omitempty"`
	// Lost is the amount that nodes admitted in the window that are silent now. It is the
	// sender's estimate of the whole and not added up.
	Lost int `json:"lost,omitempty"`
	// Reach is the part of the limit, in thousandths, that is divided among the nodes that
	// the sender's reports cover; zero for all of it, or if the recipient is no child.
	Reach int `json:"reach,omitempty"`
}

func (s Sum) plus(o Sum) Sum {
	return Sum{Used: s.Used + o.Used, Asked: s.Asked + o.Asked, Recent: s.Recent + o.Recent}
}

func (s Sum) minus(o Sum) Sum {
	return Sum{Used: s.Used - o.Used, Asked: s.Asked - o.Asked, Recent: s.Recent - o.Recent}
}

// Report is the use of limits that one node sends to another.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Nodes is the number of nodes that the report covers.
	Nodes int `json:"nodes"`
	// Known is true when the sender knows the use of a whole window.
	Known bool `json:"known,omitempty"`
	// Gone is the number of nodes that the sender knows to have ended.
	Gone int `json:"gone,omitempty"`
	// Sums are the sums by the hash of the workspace's name. One that is missing is as
	// last reported.
	Sums map[uint64]Sum `json:"sums,omitempty"`
	// Closed are the lower halves of the hashes of workspaces that the recipient doesn't
	// use and whose limits are not open.
	Closed []uint32 `json:"closed,omitempty"`
}

// Decision is the decision about a request: [Admitted] or [Rejected].
type Decision interface{ decision() }

// Admitted means that the request may run.
type Admitted struct {
	// Limited is true when the workspace has a limit.
	Limited bool
	// Basis is what the decision is based on.
	Basis Basis
	// Credit gives back what was taken, if the request doesn't run.
	Credit Credit
}

// Rejected means that the request would exceed the limit.
type Rejected struct {
	Basis Basis
	// After is the time until the request may be admitted.
	After time.Duration
}

func (Admitted) decision() {}
func (Rejected) decision() {}

// Basis is the state of a limit at a decision.
type Basis struct {
	// Share is this node's part of the limit, from 0 to 1, Reach the part of the limit
	// that is divided among the nodes that reports have been received of.
	Share, Reach float64
	// Amount is what this node has accumulated of its share.
	Amount float64
	// Used is the amount that all nodes have admitted in the window, as far as known, and
	// Allowed the most that they may.
	Used, Allowed float64
	// Age is the age of the oldest report in it.
	Age time.Duration
}

// Credit is what a request took of a limit.
type Credit struct {
	workspace uint64
	step      int64
	amount    float64
}

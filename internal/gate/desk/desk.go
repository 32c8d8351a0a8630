// Package desk stands between the node that gives orders and engines that know
// no roles: an engine is put out of work by telling the nodes to send it none.
package desk

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Report is what an engine says of itself.
type Report struct {
	// Versions are the versions of its weights by model.
	Versions map[string]uint64
	// Busy is true while an order is carried out.
	Busy bool
	// Orders is the number of orders that it has accepted since its start.
	Orders int
	// Running is the number of requests that run.
	Running int
	// Waiting is the number of requests that wait.
	Waiting int
}

// Load is an order to load weights.
type Load struct {
	// Model is the model.
	Model string
	// Version is the version of its weights.
	Version uint64
	// Fence is the holder's fencing number.
	Fence uint64
	// After is the number of orders that the engine must have accepted before,
	// so that a late copy of an older order is refused.
	After int
}

// Engines speaks to engines. It is implemented by the adapter to a platform.
type Engines interface {
	// Report reads an engine's report.
	Report(ctx context.Context, target roster.Target) (Report, error)
	// Load gives an order. A failure is an [*engine.Error].
	Load(ctx context.Context, target roster.Target, load Load) error
}

// Options are what a [Desk] needs.
type Options struct {
	// Engines speaks to engines.
	Engines Engines
	// Targets returns the list of targets.
	Targets func() map[string]roster.Target
	// Running returns the requests of all nodes at an engine.
	Running func(id string) int
	// Wanted returns the newest version of each model's weights.
	Wanted func() map[string]uint64
	// ChecksFence tells whether engines refuse old fencing numbers.
	ChecksFence func() bool
	// Loaded is told of a version that an engine's report shows.
	Loaded func(id, model string, version uint64)
	// Logger gets a line for each order.
	Logger hclog.Logger
}

// Desk keeps which engines are out of work. See [New].
type Desk struct {
	options Options

	mu      sync.Mutex
	emptied map[string]int64
	orders  map[string]int
}

// New returns a desk with every engine at work.
//
//	d := desk.New(options)
//	giver.Dial, giver.Config = d.Dial, d.Config
func New(options Options) *Desk {
	return &Desk{options: options, emptied: map[string]int64{}, orders: map[string]int{}}
}

// Emptied returns the names of the engines that are out of work.
func (d *Desk) Emptied() []string {
	targets := d.options.Targets()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, born := range d.emptied {
		if t, ok := targets[id]; !ok || t.Born != born {
			delete(d.emptied, id)
		}
	}
	return slices.Sorted(maps.Keys(d.emptied))
}

// Clear puts every engine back to work, as when this node gives no more orders.
func (d *Desk) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.emptied)
}

// Config returns what the engines on the list should serve.
func (d *Desk) Config() site.Config {
	wanted := d.options.Wanted()
	var config site.Config
	for _, model := range slices.Sorted(maps.Keys(wanted)) {
		config.Models = append(config.Models, site.Model{Name: model, WeightVersion: strconv.FormatUint(wanted[model], 10)})
	}
	for id, t := range d.options.Targets() {
		for model := range t.Versions {
			if _, ok := wanted[model]; ok && !t.Leaving {
				config.Engines = append(config.Engines, site.Engine{
					Name: id, Address: t.Address, DataCentre: t.DataCentre, Model: model, ChecksFence: d.options.ChecksFence(),
				})
				break
			}
		}
	}
	return config
}

// Dial returns the client of an engine for the node that gives orders.
func (d *Desk) Dial(id string) (engine.Client, bool) {
	t, ok := d.options.Targets()[id]
	if !ok {
		return nil, false
	}
	return &client{desk: d, target: t}, true
}

type client struct {
	engine.Client
	desk   *Desk
	target roster.Target
}

// Load implements [engine.Client]. An engine at work is known from the list; one
// that is out of work is asked.
func (c *client) Load(ctx context.Context) (engine.Load, error) {
	d, t := c.desk, c.target
	d.mu.Lock()
	born, out := d.emptied[t.ID]
	d.mu.Unlock()
	load := engine.Load{Engine: t.ID, Incarnation: strconv.FormatInt(t.Born, 10), Role: order.RoleServe, Leaving: t.Leaving}
	load.Model, load.WeightVersion = versionOf(t.Versions)
	load.Running = d.options.Running(t.ID)
	if !out || born != t.Born {
		return load, nil
	}
	load.Role = order.RoleDrain
	report, err := d.options.Engines.Report(ctx, t)
	if err != nil {
		return engine.Load{}, err
	}
	d.mu.Lock()
	d.orders[t.ID] = report.Orders
	d.mu.Unlock()
	load.Model, load.WeightVersion = versionOf(report.Versions)
	load.Loading = report.Busy
	load.Running, load.Waiting = max(load.Running, report.Running), report.Waiting
	if !report.Busy {
		for model, version := range report.Versions {
			d.options.Loaded(t.ID, model, version)
		}
	}
	return load, nil
}

// versionOf returns the one model that an engine serves.
func versionOf(versions map[string]uint64) (string, string) {
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		return model, strconv.FormatUint(versions[model], 10)
	}
	return "", ""
}

// Order implements [engine.Client].
func (c *client) Order(ctx context.Context, o engine.Order) error {
	d, t := c.desk, c.target
	switch o := o.(type) {
	case engine.SetRole:
		d.mu.Lock()
		defer d.mu.Unlock()
		if o.Role == order.RoleDrain {
			d.emptied[t.ID] = t.Born
		} else {
			delete(d.emptied, t.ID)
		}
		d.options.Logger.Info("role set", "target", t.ID, "role", o.Role, "fence", o.Fence)
		return nil
	case engine.LoadModel:
		version, err := strconv.ParseUint(o.WeightVersion, 10, 64)
		if err != nil {
			return &engine.Error{Code: engine.Invalid, Outcome: effect.NotRun{Reason: "version"}, Target: t.ID, Message: err.Error()}
		}
		d.mu.Lock()
		after := d.orders[t.ID]
		d.mu.Unlock()
		err = d.options.Engines.Load(ctx, t, Load{Model: o.Model, Version: version, Fence: o.Fence, After: after})
		d.options.Logger.Info("load ordered", "target", t.ID, "model", o.Model, "weights", version, "fence", o.Fence, "after", after, "error", err)
		return err
	default:
		return &engine.Error{Code: engine.Invalid, Outcome: effect.NotRun{Reason: "order"}, Target: t.ID, Message: "no such order here"}
	}
}

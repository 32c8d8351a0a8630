// Package drain implements [engine.Client] for engines that have no roles. It
// drains an engine by having all nodes stop sending requests to it, and
// translates load orders to the engine's own protocol.
package drain

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

// Report is an engine's status.
type Report struct {
	// Versions are the engine's weight versions by model.
	Versions map[string]uint64
	// Busy is true while the engine carries out an order.
	Busy bool
	// Orders is the number of orders that the engine has accepted since its
	// start.
	Orders int
	// Running is the number of running requests.
	Running int
	// Waiting is the number of queued requests.
	Waiting int
}

// Load is an order to load weights.
type Load struct {
	Model string
	// Version is the weight version to load.
	Version uint64
	// Fence is the fencing token of the holder of the order lease.
	Fence uint64
	// AfterOrders is the number of orders that the engine must have accepted before,
	// so that a late copy of an older order is refused.
	AfterOrders int
}

// Engines calls engines. It is implemented by the adapter to a platform.
type Engines interface {
	// Report returns an engine's status.
	Report(ctx context.Context, target roster.Target) (Report, error)
	// Load sends a load order to an engine. Its errors are of type
	// [*engine.Error].
	Load(ctx context.Context, target roster.Target, load Load) error
}

// Options configures a [Drainer].
type Options struct {
	Engines Engines
	// Targets returns the list of targets.
	Targets func() map[string]roster.Target
	// Running returns the number of requests that all nodes have at an engine.
	Running func(id string) int
	// Wanted returns the newest weight version of each model.
	Wanted func() map[string]uint64
	// ChecksFence reports whether engines refuse outdated fencing tokens.
	ChecksFence func() bool
	// Loaded is called with each weight version that an engine reports while it
	// is not busy with an order.
	Loaded func(id, model string, version uint64)
	// Logger logs each order.
	Logger hclog.Logger
}

// Drainer keeps the set of drained engines. See [New].
type Drainer struct {
	options Options

	mu sync.Mutex
	// drained holds the process start of each drained engine by its ID. An engine
	// that has restarted since is no longer drained.
	drained map[string]int64
	// ordersAccepted is the last reported number of accepted orders by engine ID.
	ordersAccepted map[string]int
}

// New returns a Drainer without drained engines.
//
//	d := drain.New(options)
//	sender.Dial, sender.Config = d.Dial, d.Config
func New(options Options) *Drainer {
	return &Drainer{options: options, drained: map[string]int64{}, ordersAccepted: map[string]int{}}
}

// Drained returns the IDs of the drained engines.
func (d *Drainer) Drained() []string {
	targets := d.options.Targets()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, born := range d.drained {
		if t, ok := targets[id]; !ok || t.Born != born {
			delete(d.drained, id)
		}
	}
	return slices.Sorted(maps.Keys(d.drained))
}

// Clear ends the drain of all engines. It is used when this node no longer gives
// orders.
func (d *Drainer) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.drained)
}

// Config returns the models that should be served, and the engines that serve
// them and stay.
func (d *Drainer) Config() site.Config {
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

// Dial returns a client of an engine; false if there is no such target.
func (d *Drainer) Dial(id string) (engine.Client, bool) {
	t, ok := d.options.Targets()[id]
	if !ok {
		return nil, false
	}
	return &client{drainer: d, target: t}, true
}

// client implements [engine.Client] for one engine.
type client struct {
	engine.Client
	drainer *Drainer
	target  roster.Target
}

// Load implements [engine.Client]. The status of a serving engine is taken from
// the list of targets; only a drained one is called.
func (c *client) Load(ctx context.Context) (engine.LoadReport, error) {
	d, t := c.drainer, c.target
	d.mu.Lock()
	born, drained := d.drained[t.ID]
	d.mu.Unlock()
	load := engine.LoadReport{Engine: t.ID, Incarnation: strconv.FormatInt(t.Born, 10), Role: order.RoleServe, Leaving: t.Leaving}
	load.Model, load.WeightVersion = versionOf(t.Versions)
	load.Running = d.options.Running(t.ID)
	if !drained || born != t.Born {
		return load, nil
	}
	load.Role = order.RoleDrain
	report, err := d.options.Engines.Report(ctx, t)
	if err != nil {
		return engine.LoadReport{}, err
	}
	d.mu.Lock()
	d.ordersAccepted[t.ID] = report.Orders
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

// versionOf returns the model that an engine serves and its weight version. If
// there are several, it returns the first by name.
func versionOf(versions map[string]uint64) (string, string) {
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		return model, strconv.FormatUint(versions[model], 10)
	}
	return "", ""
}

// Order implements [engine.Client].
func (c *client) Order(ctx context.Context, o engine.Order) error {
	d, t := c.drainer, c.target
	switch o := o.(type) {
	case engine.SetRole:
		d.mu.Lock()
		defer d.mu.Unlock()
		if o.Role == order.RoleDrain {
			d.drained[t.ID] = t.Born
		} else {
			delete(d.drained, t.ID)
		}
		d.options.Logger.Info("role set", "target", t.ID, "role", o.Role, "fence", o.Fence)
		return nil
	case engine.LoadModel:
		version, err := strconv.ParseUint(o.WeightVersion, 10, 64)
		if err != nil {
			return &engine.Error{Code: engine.Invalid, Outcome: effect.NotRun{Reason: "version"}, Target: t.ID, Message: err.Error()}
		}
		d.mu.Lock()
		after := d.ordersAccepted[t.ID]
		d.mu.Unlock()
		err = d.options.Engines.Load(ctx, t, Load{Model: o.Model, Version: version, Fence: o.Fence, AfterOrders: after})
		d.options.Logger.Info("load ordered", "target", t.ID, "model", o.Model, "weights", version, "fence", o.Fence, "after", after, "error", err)
		return err
	default:
		return &engine.Error{Code: engine.Invalid, Outcome: effect.NotRun{Reason: "order"}, Target: t.ID, Message: "no such order here"}
	}
}

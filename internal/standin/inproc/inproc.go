// Package inproc runs all stand-ins that a node needs in this process, on loopback
// addresses, for trying Cicadamill out and for tests.
package inproc

import (
	"bytes"
	"context"
	_ "embed" // The sample configuration is part of the binary.
	"fmt"
	"net"
	"net/http"
	"text/template"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/standin/lists"
	"github.com/cicadamill/cicadamill/internal/standin/model"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/plain"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// The bearer keys of the sample configuration.
const (
	MembersKey = "sample-key-members"
	SellersKey = "sample-key-sellers"
)

const headerTimeout = 5 * time.Second

//go:embed sample.jsonc
var sample string

// Site is a set of running stand-ins.
type Site struct {
	// Table, Objects and Hosts are the platform's services.
	Table   *tables.Store
	Objects *objs.Store
	Hosts   *lists.List
	// Engines are the model engines, by name.
	Engines map[string]*model.Engine
	// Plain is the only target of the sample's service.
	Plain *plain.Service
	// TableAddress, ObjectAddress and HostsAddress are the listen addresses of the
	// platform's services.
	TableAddress, ObjectAddress, HostsAddress string
	// Config is the sample configuration, with the addresses filled in.
	Config []byte
}

// New starts the stand-ins. They stop when the context is cancelled. Each server
// sends its final error to the returned channel.
//
//	sample, ended, err := inproc.New(ctx)
func New(ctx context.Context) (*Site, <-chan error, error) {
	s := &Site{
		Table: tables.New(), Objects: objs.New(), Hosts: lists.New(),
		Engines: map[string]*model.Engine{}, Plain: plain.New(),
	}
	starter := &starter{ended: make(chan error, 16)}
	values := map[string]string{"MembersKey": auth.Hash(MembersKey), "SellersKey": auth.Hash(SellersKey)}
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("engine-%d", i)
		s.Engines[name] = model.New(engineOptions(name))
		values[fmt.Sprintf("Engine%d", i)] = starter.start(ctx, s.Engines[name].Handler())
	}
	values["Plain"] = starter.start(ctx, s.Plain.Handler())
	s.TableAddress = starter.start(ctx, s.Table.Handler())
	s.ObjectAddress = starter.start(ctx, s.Objects.Handler())
	s.HostsAddress = starter.start(ctx, s.Hosts.Handler())
	if starter.err != nil {
		return nil, nil, starter.err
	}
	config, err := fill(values)
	s.Config = config
	return s, starter.ended, err
}

func engineOptions(name string) model.Options {
	return model.Options{
		Name: name, Model: "quay-7b", WeightVersion: "1", BlockTokens: 2000, CacheBlocks: 64,
		PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 10 * time.Millisecond,
		OutputTokens: 32, MaxRunning: 32, MaxWaiting: 32,
	}
}

func fill(values map[string]string) ([]byte, error) {
	parsed, err := template.New("sample").Option("missingkey=error").Parse(sample)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var text bytes.Buffer
	if err := parsed.Execute(&text, values); err != nil {
		return nil, errors.Trace(err)
	}
	return text.Bytes(), nil
}

// starter starts an HTTP server on a loopback address for each stand-in, and
// keeps the last error.
type starter struct {
	ended chan error
	err   error
}

func (s *starter) start(ctx context.Context, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.err = errors.Annotate(err, "listening for a stand-in")
		return ""
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	go func(context.Context) {
		defer stop()
		s.ended <- server.Serve(listener)
	}(ctx)
	return listener.Addr().String()
}

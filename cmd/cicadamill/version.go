package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
)

// versionCommand prints what this binary was built from.
type versionCommand struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

// versionReply is the version in JSON.
type versionReply struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// Run implements [command].
func (c *versionCommand) Run(_ context.Context, out io.Writer) error {
	reply := readVersion()
	if c.JSON {
		return json.NewEncoder(out).Encode(reply)
	}
	_, err := fmt.Fprintf(out, "cicadamill %s %s (%s)\n", reply.Version, reply.Revision, reply.Go)
	return err
}

func readVersion() versionReply {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionReply{Version: "unknown"}
	}
	reply := versionReply{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			reply.Revision = setting.Value
		}
	}
	return reply
}

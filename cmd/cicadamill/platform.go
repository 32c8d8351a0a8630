package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/platform"
)

// platformReply is the result of checking a platform's configuration in JSON.
type platformReply struct {
	File       string `json:"file"`
	Version    uint64 `json:"version"`
	Routes     int    `json:"routes"`
	Services   int    `json:"services"`
	Workspaces int    `json:"workspaces"`
	// Issues are what hosts reject, Warnings what they apply all the same.
	Issues   []jsonc.Issue `json:"issues,omitempty"`
	Warnings []jsonc.Issue `json:"warnings,omitempty"`
	// Changes are the differences from the version in force.
	Changes []platform.ConfigChange `json:"changes,omitempty"`
}

// checkPlatform checks the configuration that a platform's operators write for its
// hosts. Warnings don't change the exit code.
func (c *checkCommand) checkPlatform(out io.Writer) error {
	report, err := c.platformReport()
	if err != nil {
		return err
	}
	reply := platformReply{
		File: c.Platform, Version: report.Version, Routes: report.Routes, Services: report.Services, Workspaces: report.Workspaces,
		Issues: report.Errors, Warnings: report.Warnings, Changes: report.Changes,
	}
	if c.JSON {
		err = json.NewEncoder(out).Encode(reply)
	} else {
		err = c.printPlatform(out, reply)
	}
	if err != nil {
		return err
	}
	if len(reply.Issues) > 0 {
		return &exitError{Code: exitInvalid, Err: fmt.Errorf("%s: %w", c.Platform, &jsonc.Error{Name: "configuration", Issues: reply.Issues})}
	}
	return nil
}

func (c *checkCommand) platformReport() (platform.ConfigReport, error) {
	source, err := os.ReadFile(c.Platform)
	if err != nil {
		return platform.ConfigReport{}, err
	}
	if c.Against == "" {
		return platform.CheckConfig(source), nil
	}
	inForce, err := os.ReadFile(c.Against)
	if err != nil {
		return platform.ConfigReport{}, err
	}
	report, err := platform.CompareConfig(source, inForce)
	if err != nil {
		return report, &exitError{Code: exitInvalid, Err: fmt.Errorf("%s can't be in force, since hosts reject it: %w", c.Against, err)}
	}
	return report, nil
}

func (c *checkCommand) printPlatform(out io.Writer, reply platformReply) error {
	for _, warning := range reply.Warnings {
		if _, err := fmt.Fprintf(out, "warning: %s:%s\n", reply.File, warning); err != nil {
			return err
		}
	}
	if len(reply.Issues) == 0 {
		if _, err := fmt.Fprintf(out, "%s: hosts accept version %d: %d routes, %d services, %d workspaces; %d warnings\n",
			reply.File, reply.Version, reply.Routes, reply.Services, reply.Workspaces, len(reply.Warnings)); err != nil {
			return err
		}
	}
	if c.Against == "" {
		return nil
	}
	if _, err := fmt.Fprintf(out, "%d differences from %s\n", len(reply.Changes), c.Against); err != nil {
		return err
	}
	for _, change := range reply.Changes {
		if _, err := fmt.Fprintf(out, "  %s\n", change); err != nil {
			return err
		}
	}
	return nil
}

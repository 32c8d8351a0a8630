package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRun(t *testing.T) {
	tests := map[string]struct {
		line []string
		code int
		out  string
		err  string
	}{
		"nothing":          {code: exitUsage, err: "name a command"},
		"unknown command":  {line: []string{"fly"}, code: exitUsage, err: "invalid subcommand: fly"},
		"unknown flag":     {line: []string{"version", "--fly"}, code: exitUsage, err: "unknown argument --fly"},
		"help":             {line: []string{"--help"}, code: exitOK, out: "Examples:"},
		"version":          {line: []string{"version"}, code: exitOK, out: "cicadamill "},
		"version as JSON":  {line: []string{"version", "--json"}, code: exitOK, out: `{"version":`},
		"serve what":       {line: []string{"serve"}, code: exitUsage, err: "--settings FILE"},
		"serve both":       {line: []string{"serve", "--embedded", "--settings", "x"}, code: exitUsage, err: "exclude each other"},
		"missing settings": {line: []string{"serve", "--settings", "/missing"}, code: exitFailure, err: "no such file"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(context.Background(), test.line, &out, &errOut)
			assert.Equal(t, test.code, code)
			assert.Contains(t, out.String(), test.out)
			assert.True(t, strings.Contains(errOut.String(), test.err), errOut.String())
		})
	}
}

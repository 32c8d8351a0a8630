package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/platform"
)

// configCommand holds the subcommands for the configuration.
type configCommand struct {
	Check   *checkCommand   `arg:"subcommand:check" help:"check a text and apply nothing"`
	Submit  *submitCommand  `arg:"subcommand:submit" help:"make a text the configuration in force"`
	Show    *showCommand    `arg:"subcommand:show" help:"print a version, comments and all"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"compare a file or a version with another version"`
	History *historyCommand `arg:"subcommand:history" help:"list the accepted versions"`
}

// Run implements [command]. It is called if no subcommand is given.
func (c *configCommand) Run(context.Context, io.Writer) error {
	return &exitError{Code: exitUsage, Err: errors.New("name one of config check, submit, show, diff, history")}
}

// checkCommand checks files without contacting a node.
type checkCommand struct {
	File     string `arg:"positional" help:"configuration text" placeholder:"FILE"`
	Settings string `arg:"--settings" help:"check a node's settings" placeholder:"FILE"`
	Host     string `arg:"--host" help:"check the settings file that a platform gives a host" placeholder:"FILE"`
	Platform string `arg:"--platform" help:"check the configuration that a platform's operators write for its hosts" placeholder:"FILE"`
	Against  string `arg:"--against" help:"with --platform, print the differences from this version, which is in force" placeholder:"FILE"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

// checkReply is the result of a check in JSON.
type checkReply struct {
	File       string `json:"file"`
	Site       string `json:"site,omitempty"`
	Node       string `json:"node,omitempty"`
	Engines    int    `json:"engines"`
	Workspaces int    `json:"workspaces"`

	Issues []jsonc.Issue `json:"issues,omitempty"`
}

// Run implements [command].
func (c *checkCommand) Run(_ context.Context, out io.Writer) error {
	switch {
	case c.File == "" && c.Settings == "" && c.Host == "" && c.Platform == "":
		return &exitError{Code: exitUsage, Err: errors.New("name a FILE to check, --settings FILE, --host FILE or --platform FILE")}
	case c.Against != "" && c.Platform == "":
		return &exitError{Code: exitUsage, Err: errors.New("--against needs --platform FILE")}
	}
	for _, check := range []struct {
		file string
		read func([]byte) (checkReply, error)
	}{{c.File, checkSite}, {c.Settings, checkLocal}, {c.Host, checkHost}} {
		if check.file == "" {
			continue
		}
		source, err := os.ReadFile(check.file)
		if err != nil {
			return err
		}
		reply, err := check.read(source)
		reply.File = check.file
		if err != nil {
			return c.invalid(out, reply, err)
		}
		if err := c.print(out, reply); err != nil {
			return err
		}
	}
	if c.Platform != "" {
		return c.checkPlatform(out)
	}
	return nil
}

// invalid reports the errors of a file: on standard error, and with --json also as
// a list in the result.
func (c *checkCommand) invalid(out io.Writer, reply checkReply, err error) error {
	var found *jsonc.Error
	if c.JSON && errors.As(err, &found) {
		reply.Issues = found.Issues
		if err := json.NewEncoder(out).Encode(reply); err != nil {
			return err
		}
	}
	return &exitError{Code: exitInvalid, Err: fmt.Errorf("%s: %w", reply.File, err)}
}

func (c *checkCommand) print(out io.Writer, reply checkReply) error {
	if c.JSON {
		return json.NewEncoder(out).Encode(reply)
	}
	if reply.Node != "" {
		_, err := fmt.Fprintf(out, "%s: sound settings of node %s\n", reply.File, reply.Node)
		return err
	}
	_, err := fmt.Fprintf(out, "%s: sound configuration of site %s: %d engines, %d workspaces\n", reply.File, reply.Site, reply.Engines, reply.Workspaces)
	return err
}

func checkSite(source []byte) (checkReply, error) {
	config, err := site.Parse(source)
	return checkReply{Site: config.Site, Engines: len(config.Engines), Workspaces: len(config.Workspaces)}, err
}

// checkHost checks the settings file that a platform gives a host.
func checkHost(source []byte) (checkReply, error) {
	settings, problems := platform.ParseSettings(bytes.NewReader(source))
	reply := checkReply{Node: settings.Host.Name}
	var found jsonc.Error
	for _, problem := range problems {
		issue := jsonc.Issue{Column: 1, Message: problem.Error()}
		var line *platform.SettingsError
		if errors.As(problem, &line) {
			issue = jsonc.Issue{Line: line.Line, Column: 1, Path: line.Field, Message: line.Reason}
		}
		found.Issues = append(found.Issues, issue)
	}
	if len(found.Issues) > 0 {
		return reply, &found
	}
	return reply, nil
}

func checkLocal(source []byte) (checkReply, error) {
	settings, err := local.Parse(source)
	return checkReply{Node: settings.Name}, err
}

// submitCommand submits a configuration to a node.
type submitCommand struct {
	access
	File   string `arg:"positional,required" help:"configuration text" placeholder:"FILE"`
	Base   uint64 `arg:"--base,required" help:"version that the text started from, as config show prints it" placeholder:"VERSION"`
	Author string `arg:"--author" help:"name to record" placeholder:"NAME"`
	JSON   bool   `arg:"--json" help:"print JSON"`
}

const (
	submitAttempts = 3
	submitPause    = time.Second
)

// Run implements [command].
func (c *submitCommand) Run(ctx context.Context, out io.Writer) error {
	source, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := site.Parse(source); err != nil {
		return &exitError{Code: exitInvalid, Err: fmt.Errorf("%s: %w", c.File, err)}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	accepted, err := c.send(ctx, client, admin.Submission{Base: c.Base, Nonce: rand.Text(), Author: c.Author, Text: string(source)})
	var refusal *admin.Refusal
	if errors.As(err, &refusal) && refusal.Code == admin.Conflict {
		return c.conflict(ctx, client, refusal, string(source))
	}
	if err != nil {
		return exitFor(err)
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(accepted)
	}
	_, err = fmt.Fprintf(out, "accepted as version %d\n", accepted.Version)
	return err
}

// send submits the configuration and retries if no response arrives. The nonce stays
// the same, so that the submission is accepted at most once.
func (c *submitCommand) send(ctx context.Context, client *admin.Client, s admin.Submission) (admin.Accepted, error) {
	var accepted admin.Accepted
	var err error
	for attempt := range submitAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return accepted, ctx.Err()
			case <-time.After(submitPause):
			}
		}
		accepted, err = client.Submit(ctx, s)
		var unreachable *admin.UnreachableError
		if !errors.As(err, &unreachable) {
			return accepted, err
		}
	}
	return accepted, err
}

// conflict returns an error that shows the changes since the base on both sides: the
// accepted ones and those of this text.
func (c *submitCommand) conflict(ctx context.Context, client *admin.Client, refusal *admin.Refusal, mine string) error {
	message := refusal.Message + "\n"
	base, baseErr := client.Show(ctx, refusal.Base)
	theirs, theirsErr := client.Show(ctx, refusal.Current)
	if baseErr == nil && theirsErr == nil {
		message += fmt.Sprintf("\naccepted since version %d:\n%s\nthis text since version %d:\n%s\n",
			refusal.Base, unified(base.Text, theirs.Text, refusal.Base, fmt.Sprint("version ", refusal.Current)),
			refusal.Base, unified(base.Text, mine, refusal.Base, c.File))
	}
	message += fmt.Sprintf("start again from version %d: cicadamill config show --version %d", refusal.Current, refusal.Current)
	return &exitError{Code: exitConflict, Err: errors.New(message)}
}

// exitFor returns an error with the exit code for an error from a node.
func exitFor(err error) error {
	var refusal *admin.Refusal
	var unreachable *admin.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return &exitError{Code: exitUnknown, Err: fmt.Errorf("%w; ask another node with --node, and see config history before submitting again", err)}
	case !errors.As(err, &refusal):
		return err
	case refusal.Code == admin.InvalidConfiguration:
		return &exitError{Code: exitInvalid, Err: err}
	case refusal.Code == admin.Conflict:
		return &exitError{Code: exitConflict, Err: err}
	case refusal.Code == admin.OutcomeUnknown:
		return &exitError{Code: exitUnknown, Err: fmt.Errorf("%w; see config history before submitting again", err)}
	default:
		return err
	}
}

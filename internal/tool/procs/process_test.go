package procs_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	firstPort = 20_000
	lastPort  = 30_000
	portsEach = 64
	keptLines = 40
)

// process is one process of the test, started again with the same arguments.
type process struct {
	name string
	args []string
	path string
	// gate lets one goroutine at a time start it again.
	gate sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	calls   map[string]bool
	last    []string
	starts  int
}

func newProcess(path, name string, args ...string) *process {
	return &process{name: name, path: path, args: args, calls: map[string]bool{}}
}

// start runs the process. Its output is read until it ends.
func (p *process) start(ctx context.Context) error {
	command := exec.Command(p.path, p.args...)
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	errOut, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.starts++
	p.mu.Unlock()
	go func(context.Context) {
		defer close(ended)
		var group sync.WaitGroup
		group.Go(func() { p.read(out) })
		group.Go(func() { p.read(errOut) })
		group.Wait()
		_ = command.Wait()
	}(ctx)
	return nil
}

// read keeps the calls that an engine prints, and the last lines of the rest.
func (p *process) read(from io.Reader) {
	scanner := bufio.NewScanner(from)
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		if attempt, ok := strings.CutPrefix(line, "call "); ok {
			// An attempt is REQUEST.NUMBER, or REQUEST-LEG.NUMBER after a lost node.
			id, _, _ := strings.Cut(attempt, ".")
			id, _, _ = strings.Cut(id, "-")
			p.calls[id] = true
		} else {
			p.last = append(p.last, line)
			p.last = p.last[max(0, len(p.last)-keptLines):]
		}
		p.mu.Unlock()
	}
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	_ = p.command.Process.Signal(s)
	return p.ended
}

// end returns the channel that closes when the present process has ended.
func (p *process) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// kill ends the process without warning.
func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) ran(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[id]
}

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name + ":\n  " + strings.Join(p.last, "\n  ")
}

// build compiles the binary.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cicadamill")
	out, err := exec.Command("go", "build", "-o", path, "github.com/cicadamill/cicadamill/cmd/cicadamill").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// ports hands out free ports below those that the system gives to outgoing
// connections, so that none is taken while its process is down.
type ports struct {
	next int
}

func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()*portsEach%(lastPort-firstPort)}
}

func (p *ports) take(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	require.Fail(t, "no free port")
	return ""
}

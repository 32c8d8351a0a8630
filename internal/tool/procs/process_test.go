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
	firstPort   = 20_000
	lastPort    = 30_000
	portStride  = 64
	maxLogLines = 40
)

// process is a command of the test, which may be started several times with the
// same arguments.
type process struct {
	name string
	args []string
	path string
	// restartMu serializes restarts.
	restartMu sync.Mutex

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	requests  map[string]bool
	lastLines []string
	starts    int
}

func newProcess(path, name string, args ...string) *process {
	return &process{name: name, path: path, args: args, requests: map[string]bool{}}
}

// start runs the command and reads its output until it exits.
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

// read records the request IDs of the calls that an engine prints, and keeps the
// last lines of all other output.
func (p *process) read(from io.Reader) {
	scanner := bufio.NewScanner(from)
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		if attemptID, ok := strings.CutPrefix(line, "call "); ok {
			// An attempt ID is REQUEST.NUMBER, or REQUEST-LEG.NUMBER after a node was
			// lost.
			id, _, _ := strings.Cut(attemptID, ".")
			id, _, _ = strings.Cut(id, "-")
			p.requests[id] = true
		} else {
			p.lastLines = append(p.lastLines, line)
			p.lastLines = p.lastLines[max(0, len(p.lastLines)-maxLogLines):]
		}
		p.mu.Unlock()
	}
}

// signal sends a signal to the current run, and returns a channel that closes when
// that run has exited.
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

// done returns a channel that closes when the current run has exited.
func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// kill sends SIGKILL and waits for the exit.
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

func (p *process) ranRequest(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests[id]
}

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name + ":\n  " + strings.Join(p.lastLines, "\n  ")
}

// buildBinary compiles the binary and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cicadamill")
	out, err := exec.Command("go", "build", "-o", path, "github.com/cicadamill/cicadamill/cmd/cicadamill").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// portAllocator returns free ports below the ephemeral range, so that no outgoing
// connection takes a port while its process is down.
type portAllocator struct {
	next int
}

func newPortAllocator() *portAllocator {
	return &portAllocator{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}
}

func (p *portAllocator) allocate(t *testing.T) string {
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

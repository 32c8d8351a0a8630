package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// process is one host of the fleet, in a process that steps stop and start again.
type process struct {
	binary, folder string
	settings       fake.Settings
	store          *proxy

	// stepMu serializes the steps that signal the process.
	stepMu sync.Mutex

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan error
	starts    int
	startedAt time.Time
}

// Hosts listen on ports below the ephemeral range, so that no outgoing connection
// takes a port while its host is down. The search starts at an offset derived from
// the process ID, because concurrent runs share the range.
const (
	firstPort = 12_000
	portCount = 18_000
)

// anyPort is a loopback address with a port that the system chooses.
const anyPort = "127.0.0.1:0"

var nextPort atomic.Int64

func freePort() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*61+nextPort.Add(1))%portCount
		address := fmt.Sprint("127.0.0.1:", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free")
}

func newProcess(binary, folder, name string, store string) (*process, error) {
	p := &process{binary: binary, folder: folder, settings: fake.Settings{Name: name}}
	for _, address := range []*string{&p.settings.Front, &p.settings.Ready, &p.settings.Peer} {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		*address = port
	}
	var err error
	p.store, err = newProxy(anyPort, func() string { return store })
	if err == nil {
		p.settings.Store = p.store.address
	}
	return p, err
}

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.settings.Name+".conf") }

func (p *process) logPath() string { return filepath.Join(p.folder, p.settings.Name+".log") }

func (p *process) writeSettings() error {
	next := p.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(p.settings.Text()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settingsPath())
}

func (p *process) start() error {
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if _, err := fmt.Fprintf(log, "{\"start\":%q}\n", time.Now().Format(time.RFC3339Nano)); err != nil {
		return err
	}
	command := exec.Command(p.binary, "gateway")
	command.Env = append(os.Environ(), fake.Env(p.settingsPath()))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func(context.Context) { ended <- command.Wait() }(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended = command, ended
	p.starts++
	p.startedAt = time.Now()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The process may have exited already.
	_ = p.command.Process.Signal(s)
}

// signalAndWait sends a signal that ends the process and waits for its exit. After
// the timeout it kills the process and returns an error.
func (p *process) signalAndWait(s syscall.Signal, timeout time.Duration) error {
	p.signal(s)
	select {
	case <-p.ended:
		return nil
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-p.ended
		return fmt.Errorf("%s was still running %v after signal %v", p.settings.Name, timeout, s)
	}
}

// status describes for error messages whether the process runs or how it exited.
func (p *process) status() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-p.ended:
		p.ended <- err
		return fmt.Sprintf("exited %v after its start: %v", time.Since(p.startedAt), err)
	default:
		return "runs"
	}
}

// awaitSignalHandlers waits until the process has had time to install its signal
// handlers: until then a SIGHUP terminates it.
func (p *process) awaitSignalHandlers() {
	p.mu.Lock()
	startedAt := p.startedAt
	p.mu.Unlock()
	time.Sleep(time.Until(startedAt.Add(signalSetupTime)))
}

// signalSetupTime is an upper bound for the time from a start to the signal
// handlers.
const signalSetupTime = 150 * time.Millisecond

// incarnation returns the number of starts of the process so far.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// tail returns the last lines of the log.
func (p *process) tail(count int) []string {
	file, err := os.Open(p.logPath())
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = file.Close() }()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		lines = append(lines, scanner.Text())
		lines = lines[max(0, len(lines)-count):]
	}
	return lines
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// hostBinary is the program that the deploy file starts.
const hostBinary = "target/cicadamill"

const (
	// readyTimeout bounds the start of a host.
	readyTimeout = 10 * time.Second
	// restartDelay is the pause before a host that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is how often the memory of a host is read.
	memoryInterval = 10 * time.Millisecond
)

// host is one gateway process with the settings of a small deployment.
type host struct {
	name, folder        string
	front, ready, peer  string
	store               string
	seeds               []string
	memoryMB            int
	record              *record
	mu                  sync.Mutex
	command             *exec.Cmd
	ended               chan struct{}
	stopping            bool
	peakKB              int
	overLimit, ownEnds  int
	restartsItself      bool
	supervisorsFinished sync.WaitGroup
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// hosts are all hosts of this run, which are killed at its end.
var hosts []*host

func newHost(name, folder, store string, r *record) *host {
	h := &host{
		name: name, folder: folder, front: freeAddress(), ready: freeAddress(), peer: freeAddress(),
		store: store, memoryMB: 134, record: r,
	}
	hosts = append(hosts, h)
	return h
}

// startFleet starts hosts that know each other and come back when they end.
func startFleet(number int, folder, store string, r *record) []*host {
	var all []*host
	for n := range number {
		all = append(all, newHost(fmt.Sprintf("front-tema-%d", n+1), folder, store, r))
	}
	for _, h := range all {
		for _, other := range all[:min(len(all), 3)] {
			h.seeds = append(h.seeds, other.peer)
		}
		h.restartsItself = true
		h.start()
	}
	return all
}

// settings is the example of the platform's page with loopback addresses.
func (h *host) settings() string {
	return fmt.Sprintf(`node=%s
role=gateway
machineClass=front
serves=front,control
ip=127.0.0.1
zone=tema
region=greater-accra
zones.tema=greater-accra
listen.front=%s
listen.ready=%s
listen.control=%s
seeds=%s
bootstrap=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.lostSlackMs=200
bounds.configApplyMs=2000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
bounds.requireFence=false
bounds.leaseMs=3000
bounds.versionMs=15000
platform.address=%s
platform.form=table
`, h.name, h.front, h.ready, h.peer, strings.Join(h.seeds, ","), h.memoryMB, h.store)
}

// start starts the process with the command of the deploy file and waits until it is
// ready.
func (h *host) start() {
	path := filepath.Join(h.folder, h.name+".conf")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(hostBinary, "gateway", "--metrics", "9464")
	command.Env = []string{"CICADAMILL_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + h.folder, "LANG=C"}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		fail("starting a host: %v", err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended = command, ended
	h.mu.Unlock()
	h.record.write("host %s: started", h.name)
	h.supervisorsFinished.Add(1)
	go h.supervise(command, ended)
	h.awaitReady()
}

// supervise does what the platform does with a process: it kills one that exceeds its
// memory, and starts one again that has ended by itself.
func (h *host) supervise(command *exec.Cmd, ended chan struct{}) {
	defer h.supervisorsFinished.Done()
	killed := false
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		for {
			select {
			case <-ended:
				return
			case <-time.After(memoryInterval):
			}
			kb := anonymousKB(command.Process.Pid)
			h.mu.Lock()
			h.peakKB = max(h.peakKB, kb)
			h.mu.Unlock()
			if kb > h.memoryMB*1024 && !killed {
				killed = true
				_ = command.Process.Kill()
				h.record.write("host %s: %d KB of anonymous memory, over its %d MB: killed by the platform", h.name, kb, h.memoryMB)
			}
		}
	}()
	err := command.Wait()
	close(ended)
	<-watching
	h.mu.Lock()
	stopping := h.stopping
	if !stopping {
		if killed {
			h.overLimit++
		} else {
			h.ownEnds++
		}
	}
	again := h.restartsItself && !stopping
	h.mu.Unlock()
	h.record.write("host %s: ended, %v", h.name, err)
	if again {
		time.Sleep(restartDelay)
		h.start()
	}
}

// anonymousKB returns the anonymous memory of a process: no program text, and nothing
// that is shared.
func anonymousKB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kb
		}
	}
	return 0
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/cicadamill/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			return
		}
	}
	h.record.write("host %s: not ready after %s", h.name, readyTimeout)
}

// kill ends the process for good.
func (h *host) kill() {
	h.mu.Lock()
	h.stopping = true
	command := h.command
	h.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
	}
	h.supervisorsFinished.Wait()
}

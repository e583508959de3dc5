package soaker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
)

const (
	zoneName               = "zone"
	startBound, readyPause = 20 * time.Second, 50 * time.Millisecond // a router is ready within it, longer than any fault; between two looks
	// Ports of a router; its address is its own, so that no connection of another program has them.
	callerPort, readinessPort, peerPort = 7101, 7102, 7103
	toCallers, toStore                  = 0, 1 // the links of a router
)

// process is a router over all its lives.
type process struct {
	soak      *run
	settings  forwarder.Settings
	files     string     // the path of its files without their endings
	links     [2]*link   // from its callers and to the store
	operating sync.Mutex // serializes ends and starts

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	asked   bool         // the present life was told to end
	life    atomic.Int64 // the number of starts
	pid     atomic.Int64
}

// addRouter makes a router on an address of its own and starts it.
func (s *run) addRouter(ip, store string, seeds []string, c condition) error {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	callers, l := newLink(address(callerPort), condition{}), newLink(store, c)
	i := len(s.processes)
	s.routers[address(callerPort)], s.routers[callers.Addr().String()] = i, i
	p := &process{soak: s, files: filepath.Join(s.Directory, routerTarget(i)), links: [2]*link{callers, l}, settings: forwarder.Settings{
		Instance: routerTarget(i), Zone: zoneName, LogLevel: "info", LogEvery: 1, CallerAddress: address(callerPort), ReadinessAddress: address(readinessPort),
		PeerAddress: address(peerPort), PeerSeeds: seeds, StoreAddress: l.Addr().String(), GraceSeconds: s.grace.Seconds(),
		Budgets: forwarder.BudgetSettings{Parts: 4, Reserve: masticway.Duration(5 * time.Second)},
		Retries: forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10},
		// With one holder of a workspace the other routers borrow, as most do in a large fleet.
		Policy: forwarder.PolicySettings{Holders: 1},
	}}
	s.processes = append(s.processes, p)
	return p.start()
}

// start starts the next life.
func (p *process) start() error {
	settings, err := json.Marshal(p.settings)
	log, failed := os.OpenFile(p.files+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err := errors.Join(err, failed, os.WriteFile(p.files+".json", settings, 0o644)); err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ended := exec.Command(p.soak.Program, "gateway", p.files+".json"), make(chan struct{})
	// A machine of the users' deployments has one core.
	c.Stdout, c.Stderr, c.Env = log, log, append(os.Environ(), "GOMAXPROCS=1")
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.ended, p.asked = c, ended, false
	p.life.Add(1)
	p.pid.Store(int64(c.Process.Pid))
	go p.wait(c, ended)
	return nil
}

func (p *process) wait(c *exec.Cmd, ended chan struct{}) {
	defer close(ended)
	_ = c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.soak.note("%s ended: %v", p.settings.Instance, c.ProcessState)
	if !p.asked {
		p.soak.violate(promiseAlive, "%s ended by itself: %v", p.settings.Instance, c.ProcessState)
	}
}

// signal sends a signal to the present life; one that has just ended takes none.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.command.Process.Signal(s)
}

// stop ends the present life with SIGTERM, and with SIGKILL when its grace is over.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(p.soak.grace):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// awaitReady returns when the router says that it is ready, or false when it does not in time.
func (p *process) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(startBound); time.Now().Before(until); time.Sleep(readyPause) {
		if response, err := client.Get("http://" + p.settings.ReadinessAddress); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func (p *process) close() {
	if p.command != nil {
		p.kill()
	}
	_, _ = p.links[toCallers].Close(), p.links[toStore].Close()
}

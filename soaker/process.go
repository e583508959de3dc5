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
	zoneName                        = "zone"
	startTimeout, readyPollInterval = 20 * time.Second, 50 * time.Millisecond // a router is ready within it, longer than any fault; between two looks
	// Ports of a router; its address is its own, so that no connection of another program has them.
	callerPort, readinessPort, peerPort = 7101, 7102, 7103
	callerProxy, storeProxy             = 0, 1 // the links of a router
)

// process is a router over all its lives.
type process struct {
	soak        *soakRun
	settings    forwarder.Settings
	files       string     // the path of its files without their endings
	proxies     [2]*proxy  // from its callers and to the store
	lifecycleMu sync.Mutex // serializes ends and starts

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{}
	stopRequested bool         // the present life was told to end
	incarnation   atomic.Int64 // the number of starts
	pid           atomic.Int64
}

// addRouter makes a router on an address of its own and starts it.
func (s *soakRun) addRouter(ip, store string, seeds []string, c condition) error {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	callers, l := newProxy(address(callerPort), condition{}), newProxy(store, c)
	i := len(s.processes)
	s.routers[address(callerPort)], s.routers[callers.Addr().String()] = i, i
	p := &process{soak: s, files: filepath.Join(s.Directory, routerTarget(i)), proxies: [2]*proxy{callers, l}, settings: forwarder.Settings{
		Instance: routerTarget(i), Zone: zoneName, LogLevel: "info", LogEvery: 1, CallerAddress: address(callerPort), ReadinessAddress: address(readinessPort),
		PeerAddress: address(peerPort), PeerSeeds: seeds, StoreAddress: l.Addr().String(), GraceSeconds: s.grace.Seconds(),
		Money:   forwarder.MoneySettings{Parts: 4, Reserve: masticway.Duration(5 * time.Second)},
		Retries: forwarder.RetriesSettings{Ratio: 0.2, Slack: 50, WindowSeconds: 10},
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
	p.command, p.exited, p.stopRequested = c, ended, false
	p.incarnation.Add(1)
	p.pid.Store(int64(c.Process.Pid))
	go p.wait(c, ended)
	return nil
}

func (p *process) wait(c *exec.Cmd, ended chan struct{}) {
	defer close(ended)
	_ = c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.soak.logf("%s ended: %v", p.settings.Instance, c.ProcessState)
	if !p.stopRequested {
		p.soak.reportViolation(promiseAlive, "%s ended by itself: %v", p.settings.Instance, c.ProcessState)
	}
}

// signal sends a signal to the present life; one that has just ended takes none.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = p.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.command.Process.Signal(s)
}

// stop ends the present life with SIGTERM, and with SIGKILL when its grace is over.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(p.soak.grace):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// awaitReady returns when the router says that it is ready, or false when it does not in time.
func (p *process) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(readyPollInterval) {
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
	_, _ = p.proxies[callerProxy].Close(), p.proxies[storeProxy].Close()
}

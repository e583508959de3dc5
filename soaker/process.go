package soaker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/receiver"
)

const (
	zoneName = "zone"
	// startTimeout is the time within which a router must be ready after its start. It is longer than any fault lasts.
	// readyPollInterval is the time between two checks.
	startTimeout, readyPollInterval = 20 * time.Second, 50 * time.Millisecond
	// callerPort, readinessPort and peerPort are ports of a router. Each router has its own IP address, so no connection of
	// another program uses them.
	callerPort, readinessPort, peerPort = 7101, 7102, 7103
	// callerProxy and storeProxy are the indices of a router's proxies: the one between its callers and it, and the one
	// between it and the store.
	callerProxy, storeProxy = 0, 1
)

// process runs a router as a process of the operating system and can restart it.
type process struct {
	soak        *soakRun
	settings    forwarder.Settings
	files       string     // the path of its files without their extensions
	proxies     [2]*proxy  // indexed by callerProxy and storeProxy
	lifecycleMu sync.Mutex // held during a restart or reload; a fault that finds it held skips the router
	stopMu      sync.Mutex // held while the router is stopped in a handover

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{}
	stopRequested bool         // the soak has sent SIGTERM or SIGKILL to the current incarnation
	incarnation   atomic.Int64 // the number of the current incarnation, from 1
	pid           atomic.Int64
	stopCount     int // the number of times that SIGTERM or SIGKILL was sent
}

// addRouter creates a router with its own IP address and its two proxies, and starts it.
func (s *soakRun) addRouter(ip, store string, seeds []string, c condition) error {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	fromCallers, toStore := newProxy(address(callerPort), condition{}, &s.deliveries), newProxy(store, c, nil)
	i := len(s.processes)
	s.routers[address(callerPort)], s.routers[fromCallers.Addr().String()] = i, i
	p := &process{soak: s, files: filepath.Join(s.Directory, routerTarget(i)), proxies: [2]*proxy{fromCallers, toStore}, settings: forwarder.Settings{
		Instance: routerTarget(i), Zone: zoneName, LogLevel: "info", LogEvery: 1, CallerAddress: address(callerPort), ReadinessAddress: address(readinessPort),
		PeerAddress: address(peerPort), PeerSeeds: seeds, StoreAddress: toStore.Addr().String(), GraceSeconds: s.grace.Seconds(),
		Budgets: forwarder.BudgetSettings{Parts: 4, Reserve: masticway.Duration(5 * time.Second)},
		Retries: retryBudget,
		// With a single holder per workspace the other routers borrow, as most routers do in a large fleet.
		Policy: forwarder.PolicySettings{Holders: 1},
	}}
	if s.SharesLoad {
		p.settings.Zone, p.settings.Regions, p.settings.Policy.SharedLoad = s.zone(i), s.regions(), sharedLoad
	}
	if slices.Contains(s.Kinds, slowReadersKind) {
		p.settings.MemoryMB = slowReaderMemory
	}
	s.processes = append(s.processes, p)
	return p.start()
}

// start starts the next incarnation.
func (p *process) start() error {
	settings, err := json.Marshal(p.settings)
	log, logErr := os.OpenFile(p.files+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err := errors.Join(err, logErr, os.WriteFile(p.files+".json", settings, 0o644)); err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c, exited := exec.Command(p.soak.Program, "gateway", p.files+".json"), make(chan struct{})
	// An instance of the users' deployments has one core.
	c.Stdout, c.Stderr, c.Env = log, log, append(os.Environ(), "GOMAXPROCS=1")
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.exited, p.stopRequested = c, exited, false
	p.incarnation.Add(1)
	p.pid.Store(int64(c.Process.Pid))
	go p.wait(c, exited)
	return nil
}

// startAgain starts the next incarnation and waits until it is ready. It reports a violation if it cannot be started.
func (p *process) startAgain() {
	if err := p.start(); err != nil {
		p.soak.reportViolation(promiseAlive, "%s cannot be started: %v", p.settings.Instance, err)
	}
	p.awaitReady()
}

// wait waits for the end of an incarnation, and reports a violation if the soak had not asked it to stop.
func (p *process) wait(c *exec.Cmd, exited chan struct{}) {
	defer close(exited)
	_ = c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.soak.logf("%s ended: %v", p.settings.Instance, c.ProcessState)
	if !p.stopRequested {
		p.soak.reportViolation(promiseAlive, "%s exited without being stopped: %v", p.settings.Instance, c.ProcessState)
	}
}

// signal sends a signal to the current incarnation. It has no effect if the incarnation has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopRequested = true
		p.stopCount++
	}
	_ = p.command.Process.Signal(s)
}

// stops returns how often the process was told to end, and whether the current incarnation was.
func (p *process) stops() (n int, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopCount, p.stopRequested
}

// stop ends the current incarnation with SIGTERM, or with SIGKILL if it still runs after the grace period.
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

// awaitReady waits until the router is ready, for at most about startTimeout, and reports whether it is.
func (p *process) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: receiver.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true})}
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

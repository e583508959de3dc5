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
)

// process is a router over all its lives.
type process struct {
	soak           *run
	settings       forwarder.Settings
	files          string     // the path of its files without their endings
	callers, store *link      // from its callers and to the store
	operating      sync.Mutex // serializes ends and starts

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	asked   bool         // the present life was told to end
	life    atomic.Int64 // the number of starts
}

// addRouter makes a router on an address of its own and starts it.
func (s *run) addRouter(ip, store string, seeds []string, c condition) error {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	callers, err := newLink(address(callerPort), condition{})
	if err != nil {
		return err
	}
	l, err := newLink(store, c)
	if err != nil {
		return err
	}
	i := len(s.processes)
	s.routers[address(callerPort)], s.routers[callers.Addr().String()] = i, i
	p := &process{soak: s, files: filepath.Join(s.Directory, routerTarget(i)), callers: callers, store: l, settings: forwarder.Settings{
		Instance: routerTarget(i), Zone: zoneName, LogLevel: "info", LogEvery: 1, CallerAddress: address(callerPort), ReadinessAddress: address(readinessPort),
		PeerAddress: address(peerPort), PeerSeeds: seeds, StoreAddress: l.Addr().String(), GraceSeconds: s.grace.Seconds(),
		Money:   forwarder.MoneySettings{Parts: 4, Reserve: masticway.Duration(5 * time.Second)},
		Retries: forwarder.RetriesSettings{Ratio: 0.2, Slack: 50, WindowSeconds: 10},
	}}
	s.processes = append(s.processes, p)
	return p.start()
}

// configure writes the settings file.
func (p *process) configure() error {
	data, err := json.Marshal(p.settings)
	return errors.Join(err, os.WriteFile(p.files+".json", data, 0o644))
}

// start starts the next life.
func (p *process) start() error {
	log, err := os.OpenFile(p.files+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended, p.asked = exec.Command(p.soak.Program, "gateway", p.files+".json"), make(chan struct{}), false
	p.command.Stdout, p.command.Stderr = log, log
	// A machine of the sheets has one core.
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := errors.Join(p.configure(), p.command.Start()); err != nil {
		close(p.ended)
		return err
	}
	p.life.Add(1)
	go p.wait(p.command, p.ended)
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
	if p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
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
		response, err := client.Get("http://" + p.settings.ReadinessAddress)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (p *process) close() {
	p.kill()
	for _, l := range []*link{p.callers, p.store} {
		_ = l.Close()
		l.set(condition{})
		l.reset()
	}
}

package soaker

import (
	"encoding/json"
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
	zoneName = "zone"
	// grace is how long a router has to end after SIGTERM, the least of the sheets.
	grace = 5 * time.Second
	// readyPause separates two looks at a router that starts, each of which readyTimeout bounds.
	readyPause   = 50 * time.Millisecond
	readyTimeout = 500 * time.Millisecond
	// Ports of a router; its address is its own, so that no connection of another program has them.
	callerPort, readinessPort, peerPort = 7101, 7102, 7103
)

// process is a router over all its lives.
type process struct {
	record   *record
	program  string
	settings forwarder.Settings
	file     string
	log      *os.File
	// callers and store are the links from its callers and to the store.
	callers, store *link

	// operating serializes ends and starts.
	operating sync.Mutex
	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	// asked tells that the present life was told to end.
	asked bool
	// life counts the starts, over tells that nothing waits for the router any longer.
	life atomic.Int64
	over atomic.Bool
}

func newProcess(s *run, i int, ip string, seeds []string, store *link) (*process, error) {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	name := routerTarget(i)
	p := &process{record: s.record, program: s.Program, file: filepath.Join(s.Directory, name+".json"), store: store}
	p.settings = forwarder.Settings{
		Instance: name, Zone: zoneName, LogLevel: "info", LogEvery: 1, CallerAddress: address(callerPort), ReadinessAddress: address(readinessPort),
		PeerAddress: address(peerPort), PeerSeeds: seeds, StoreAddress: store.Addr().String(),
		GraceSeconds: grace.Seconds(), Money: forwarder.MoneySettings{Parts: 4, Reserve: masticway.Duration(5 * time.Second)},
		Retries: forwarder.RetriesSettings{Ratio: 0.2, Slack: 50, WindowSeconds: 10},
	}
	var err error
	if p.callers, err = newLink(p.settings.CallerAddress, condition{}); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(s.Directory, name+".log")); err != nil {
		return nil, err
	}
	return p, p.write()
}

// write writes the settings file.
func (p *process) write() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, data, 0o644)
}

// start starts the next life.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.program, "gateway", p.file)
	c.Stdout, c.Stderr = p.log, p.log
	// A machine of the sheets has one core.
	c.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := c.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.settings.Instance, err)
	}
	p.life.Add(1)
	p.command, p.ended, p.asked = c, make(chan struct{}), false
	go p.wait(c, p.ended)
	return nil
}

func (p *process) wait(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	asked := p.asked
	p.mu.Unlock()
	p.record.note("%s ended: %v", p.settings.Instance, c.ProcessState)
	if !asked {
		p.record.violate(promiseAlive, "%s ended by itself: %v", p.settings.Instance, err)
	}
	close(ended)
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
	case <-time.After(grace):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// awaitReady returns when the router says that it is ready, or when nothing waits for it any longer.
func (p *process) awaitReady() {
	client := &http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	for !p.over.Load() {
		response, err := client.Get("http://" + p.settings.ReadinessAddress + "/")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(readyPause)
	}
}

func (p *process) close() {
	p.over.Store(true)
	p.operating.Lock()
	defer p.operating.Unlock()
	if p.command != nil {
		p.kill()
	}
	for _, l := range []*link{p.callers, p.store} {
		_ = l.Close()
		l.set(condition{})
		l.reset()
	}
	_ = p.log.Close()
}

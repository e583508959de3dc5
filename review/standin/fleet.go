//go:build review

// Command standin plays the cases of this folder: it starts routers as processes, and has the clients, servers and the
// platform's store that they need.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// The bounds of a small deployment, as its settings name them.
const (
	stableTime      = 3 * time.Second
	drainTime       = 2 * time.Second
	configApplyTime = 2 * time.Second
	graceTime       = 8 * time.Second
	heartbeat       = 1200 * time.Millisecond
	host            = "salon.example"
)

// record writes what happens in a case to its record.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// fleet is a small deployment: the routers' processes, the store and the servers.
type fleet struct {
	rec      *record
	dir      string
	program  string
	rows     *emulator.RowStore
	store    *http.Server
	routers  []*router
	runs     *emulator.OpaqueRunLog
	storeAt  string
	version  int
	stopBeat chan struct{}
	mu       sync.Mutex
	beating  map[string]*server
}

// server is a server and its registration.
type server struct {
	*emulator.OpaqueServer
	service, zone string
	beats         int
}

// router is one router's process and the way from it to the store.
type router struct {
	name, caller, ready string
	settings            string
	toStore             *proxy
	mu                  sync.Mutex
	command             *exec.Cmd
	exited              chan struct{}
}

var zones = []string{"montevideo-a", "montevideo-b", "canelones", "maldonado"}

// newFleet starts the store. Close ends everything that the fleet has started.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec: rec, dir: dir, program: "target/masticway", rows: emulator.NewRowStore(time.Now), runs: &emulator.OpaqueRunLog{},
		stopBeat: make(chan struct{}), beating: map[string]*server{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = l.Addr().String()
	handler := f.rows.Handler()
	f.store = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The pages name no header with an era.
		handler.ServeHTTP(plainHeaders{w}, r)
	})}
	go func() { _ = f.store.Serve(l) }()
	go f.beat()
	return f, nil
}

// plainHeaders removes what the users' store does not send.
type plainHeaders struct{ http.ResponseWriter }

func (p plainHeaders) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

// addServer starts a server and registers it as ready.
func (f *fleet) addServer(id, service, zone string, work time.Duration) (*server, error) {
	o, err := emulator.StartOpaqueServer(id, f.runs)
	if err != nil {
		return nil, err
	}
	o.EnableEcho(work)
	s := &server{OpaqueServer: o, service: service, zone: zone}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beating[id] = s
	f.write(s, "ready")
	return s, nil
}

// write writes a server's registration. The caller must hold f.mu.
func (f *fleet) write(s *server, state string) {
	s.beats++
	value, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.Address(), "zone": s.zone, "version": "v1", "slots": 96, "state": state, "cold_left_ms": 0, "seq_no": s.beats,
	})
	if err != nil {
		panic(err)
	}
	f.rows.Put(masticway.RowKey{Table: "servers", Key: s.ID}, value)
}

// remove removes a server's registration. The server goes on serving.
func (f *fleet) remove(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.beating, s.ID)
	f.rows.Delete(masticway.RowKey{Table: "servers", Key: s.ID})
}

// beat writes each registration once a heartbeat, one after the other.
func (f *fleet) beat() {
	for {
		f.mu.Lock()
		var all []*server
		for _, s := range f.beating {
			all = append(all, s)
		}
		f.mu.Unlock()
		for _, s := range all {
			select {
			case <-f.stopBeat:
				return
			case <-time.After(heartbeat / time.Duration(len(all))):
			}
			f.mu.Lock()
			if f.beating[s.ID] != nil {
				f.write(s, "ready")
			}
			f.mu.Unlock()
		}
		if len(all) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// configure writes the next version of the manifest.
func (f *fleet) configure(routes, services, tenants []map[string]any) {
	f.version += 3
	value, err := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	f.rows.Put(masticway.RowKey{Table: "op", Key: "config"}, value)
	f.rec.logf("manifest %d acknowledged", f.version)
}

// addRouters starts routers and waits until all are ready.
func (f *fleet) addRouters(n int) error {
	subnet := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s%d:7103", subnet, 1+i))
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "uy-sur"
	}
	for i := range n {
		ip := fmt.Sprint(subnet, 1+i)
		toStore, err := newProxy(f.storeAt)
		if err != nil {
			return err
		}
		r := &router{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], 1+i/len(zones)), caller: ip + ":7101", ready: ip + ":7102", toStore: toStore}
		r.settings = filepath.Join(f.dir, r.name+".json")
		// The fields of deploy/gateway.json.tmpl.
		settings, err := json.Marshal(map[string]any{
			"instance": r.name, "zone": zones[i%len(zones)], "log_level": "info", "log_every": 50, "caller_address": r.caller, "readiness_address": r.ready,
			"metrics_address": ip + ":7104", "peer_address": ip + ":7103", "peer_seeds": seeds, "store_address": toStore.Addr().String(), "processors": 0.304,
			"memory_mb": 134, "grace_seconds": graceTime.Seconds(), "money": map[string]any{"parts": 64, "reserve": "30s"}, "regions": regions,
			"retries": map[string]any{"ratio": 0.2, "slack": 58, "window_seconds": 10},
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(r.settings, settings, 0o644); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
		if err := f.start(r); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	f.rec.logf("%d routers ready", n)
	return nil
}

// start starts a router's process with the command of the deploy file.
func (f *fleet) start(r *router) error {
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	c, exited := exec.Command(f.program, "gateway", r.settings), make(chan struct{})
	c.Stdout, c.Stderr, c.Env = log, log, append(os.Environ(), "GOMAXPROCS=1")
	// The process ends with this one.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	r.command, r.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.command.Process.Signal(s)
}

func (r *router) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) awaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", r.name, within)
}

// close ends all processes and servers.
func (f *fleet) close() {
	close(f.stopBeat)
	for _, r := range f.routers {
		if r.command != nil {
			r.signal(syscall.SIGCONT)
			r.signal(syscall.SIGKILL)
			<-r.exited
		}
		r.toStore.close()
	}
	_ = f.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.rec.logf("logs in %s", f.dir)
	}
}

// proxy is a way between two programs, whose channels may go silent.
type proxy struct {
	net.Listener
	target string
	mu     sync.Mutex
	conns  map[*channel]bool
	// held is set while nothing passes, on old channels and new ones.
	held atomic.Bool
}

// channel is one open channel of a proxy.
type channel struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{Listener: l, target: target, conns: map[*channel]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &channel{near: near, far: far}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		var ended atomic.Int32
		for _, way := range [][2]net.Conn{{far, near}, {near, far}} {
			go func() {
				c.copy(p, way[0], way[1])
				if ended.Add(1) == 2 {
					_, _ = near.Close(), far.Close()
					p.mu.Lock()
					delete(p.conns, c)
					p.mu.Unlock()
				}
			}()
		}
	}
}

// copy forwards bytes in one direction. Bytes on a silent channel are dropped, and neither end learns of the other's close.
func (c *channel) copy(p *proxy, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.held.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if c.silent.Load() {
			if err != nil {
				// One end has given the channel up; the other one waits for nothing on it.
				_, _ = c.near.Close(), c.far.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open channels silent for good, and returns how many there were. New channels work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

// hold makes the way silent, or lets pass what has been held up.
func (p *proxy) hold(on bool) { p.held.Store(on) }

func (p *proxy) close() {
	p.hold(false)
	_ = p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_, _ = c.near.Close(), c.far.Close()
	}
}

// call is one request of a client.
type call struct {
	id, router    string
	sentAt, endAt time.Time
	status        int
	server        string
	err           error
	// events is the number of whole events of a stream.
	events int
}

var callNumber atomic.Int64

func newID() string {
	return strconv.FormatInt(callNumber.Add(1), 16) + strconv.FormatUint(rand.Uint64()|1<<63, 16)
}

// send sends one request and reads its whole answer.
func send(client *http.Client, r *router, method, path string, header http.Header, body []byte, limit time.Duration) call {
	c := call{id: newID(), router: r.name}
	request, err := http.NewRequest(method, "http://"+r.caller+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	c.sentAt = time.Now()
	response, err := client.Do(request)
	if err == nil {
		c.status = response.StatusCode
		_, c.server = emulator.AnswerOrigin(response.Header)
		var body []byte
		body, err = io.ReadAll(response.Body)
		c.events = bytes.Count(body, []byte("\n\n"))
		_ = response.Body.Close()
	}
	c.err, c.endAt = err, time.Now()
	return c
}

// newClient returns a client that keeps its channels open, with the given time limit.
func newClient(limit time.Duration) *http.Client {
	return &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
}

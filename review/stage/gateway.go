//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project.
type gateway struct {
	name                                        string
	caller, readiness, metrics, peer, storeAddr string
	settings                                    string
	log                                         *os.File
	process                                     *exec.Cmd
	exited                                      chan error
}

// freeAddress returns a loopback address with a free port, below those that the kernel gives to connections.
func freeAddress() (string, error) {
	var last error
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err != nil {
			last = err
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", last
}

// newGateways returns gateways that know each other as seeds.
func newGateways(folder, store string, names ...string) ([]*gateway, error) {
	var all []*gateway
	var seeds []string
	for _, name := range names {
		g := &gateway{name: name, storeAddr: store}
		for _, a := range []*string{&g.caller, &g.readiness, &g.metrics, &g.peer} {
			var err error
			if *a, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		seeds = append(seeds, g.peer)
		all = append(all, g)
	}
	for i, g := range all {
		// The values are those of the deploy template for a small installation.
		data, err := json.MarshalIndent(map[string]any{
			"instance": g.name, "zone": fmt.Sprintf("zone-%d", i%2+1), "log_level": "info", "log_every": 50, "caller_address": g.caller,
			"readiness_address": g.readiness, "metrics_address": g.metrics, "peer_address": g.peer, "peer_seeds": seeds, "store_address": g.storeAddr,
			"processors": 0.304, "memory_mb": 284, "link_mbps": 1000.0, "grace_seconds": 8,
			"money": map[string]any{"parts": 64, "reserve": "30s"}, "regions": map[string]string{"zone-1": "region", "zone-2": "region"},
			"retries": map[string]any{"ratio": 0.2, "slack": 58, "window_seconds": 10},
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		g.settings = filepath.Join(folder, g.name+".json")
		if err := os.WriteFile(g.settings, data, 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(folder string) error {
	var err error
	if g.log, err = os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.process = exec.Command("target/masticway", "gateway")
	g.process.Env = []string{"MASTICWAY_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	g.process.Stdout, g.process.Stderr = g.log, g.log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.exited = make(chan error, 1)
	if err := g.process.Start(); err != nil {
		return err
	}
	go func() { g.exited <- g.process.Wait() }()
	return nil
}

// isReady asks what the platform asks once a second.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}

// kill ends the process if it still runs.
func (g *gateway) kill() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	_ = g.process.Process.Kill()
}

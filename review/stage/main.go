//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// stage holds what a case plays on.
type stage struct {
	folder   string
	record   *os.File
	mu       sync.Mutex
	began    time.Time
	store    *rowStore
	address  string
	servers  []*server
	gateways []*gateway
	// trouble is false in the play without the disruption.
	trouble bool
}

// cases has the cases by name. A case returns what breaks the rule, or nothing.
var cases = map[string]func(*stage) (broken []string, err error){}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return 2
	}
	folder, err := os.MkdirTemp("", "review-stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	record, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	s := &stage{folder: folder, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, g := range s.gateways {
			g.kill()
		}
	}()
	s.store = newRowStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	s.note("case %s, trouble %t", os.Args[1], s.trouble)
	broken, err := cases[os.Args[1]](s)
	if err != nil {
		s.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		s.note("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// addServers starts servers of a service.
func (s *stage) addServers(n int, template *server) error {
	for i := range n {
		v := &server{
			id: fmt.Sprintf("i-%s-%d", template.service, i+1), service: template.service, zone: fmt.Sprintf("zone-%d", i%2+1), slots: template.slots,
			beforeFirst: template.beforeFirst, betweenEvents: template.betweenEvents, work: template.work,
		}
		if err := v.start(s.store); err != nil {
			return err
		}
		s.servers = append(s.servers, v)
	}
	return nil
}

// addGateways starts gateways and waits until they are ready.
func (s *stage) addGateways(names ...string) error {
	var err error
	if s.gateways, err = newGateways(s.folder, s.address, names...); err != nil {
		return err
	}
	for _, g := range s.gateways {
		if err := g.start(s.folder); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// runs returns the runs of all servers by the attempt.
func (s *stage) runs() map[string][]run {
	all := map[string][]run{}
	for _, v := range s.servers {
		for _, r := range v.all() {
			all[r.Attempt] = append(all[r.Attempt], r)
		}
	}
	return all
}

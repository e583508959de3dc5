package connector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
)

// countingConn adds up the bytes read and written, headers included.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPollBytes reports the bytes that one read of a small row takes, in both directions.
func BenchmarkPollBytes(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			platform := emulator.NewPlatform(0)
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			var bytes atomic.Int64
			client := connector.NewHTTPClient(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{Conn: c, bytes: &bytes}, err
			})
			p := connector.NewPlatform(server.URL, client, time.Second)
			if err := p.Commit(context.Background(), putTransaction("config/head", fmt.Sprintf(`{"revision":%d}`, n), 0)); err != nil {
				b.Fatal(err)
			}
			bytes.Store(0)
			for b.Loop() {
				if _, err := p.Get(context.Background(), "config/head"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/poll")
		})
	}
}

// BenchmarkInstanceBytes reports the size of one entry of the instance list in bytes.
func BenchmarkInstanceBytes(b *testing.B) {
	for _, n := range []int{10, 100, 2450} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := emulator.NewInstanceList(0)
			for i := range n {
				list.Set(masticway.Instance{
					ID: fmt.Sprintf("engine-east-%d", i), Role: masticway.RoleSidecar, Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
					Region: "east", Zone: "east-a", State: masticway.InstanceLive, Models: []string{"draft"},
				})
			}
			size := 0
			for b.Loop() {
				reading, err := list.Instances(context.Background(), "")
				if err != nil {
					b.Fatal(err)
				}
				data, err := json.Marshal(reading)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/instance")
		})
	}
}

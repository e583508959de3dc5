package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
)

// Drive sends load at a constant mean rate to processes that are already running, and measures the resource usage of
// processes.
type Drive struct {
	// BaseURLs are the base URLs to which requests are sent in turn. They belong to routers or, for comparison, to model
	// engines.
	BaseURLs []string
	// Key is the caller's API key.
	Key   string
	Model string
	// Rate is the mean number of requests per second. If it is zero, no request is sent.
	Rate     float64
	Duration time.Duration
	// Tokens is the length of each answer in tokens.
	Tokens int
	// PromptBytes is the approximate size of each prompt.
	PromptBytes int
	Seed        int64
	// Processes are the processes to measure.
	Processes []Process
}

// Process is a process whose resource usage is measured.
type Process struct {
	Name string
	PID  int
	// MetricsURL is the URL of the process's expvar metrics. If it is empty, link bytes are not measured.
	MetricsURL string
}

// ResourceUsage is the resource usage of a process during a drive.
type ResourceUsage struct {
	// CoreShare is the processor time divided by the wall time. It is 1 for one whole core.
	CoreShare float64 `json:"core_share"`
	// ResidentMB is the resident memory at the end, in units of 2^20 bytes.
	ResidentMB float64 `json:"resident_mb"`
	// LinkBytes is the number of bytes per second that the process's links to other routers and sidecars sent and received.
	LinkBytes float64 `json:"link_bytes_per_second"`
}

// DriveReport is the result of a drive.
type DriveReport struct {
	Requests      int                      `json:"requests"`
	OK            int                      `json:"ok"`
	FirstToken    measurer.Summary         `json:"first_token"`
	BetweenTokens measurer.Summary         `json:"between_tokens"`
	Whole         measurer.Summary         `json:"whole"`
	Usage         map[string]ResourceUsage `json:"uses"`
}

// ticksPerSecond is the number of clock ticks per second. /proc gives processor time in ticks.
const ticksPerSecond = 100

// sample is the resource usage of a process from its start to a point in time, and its resident memory at that time.
type sample struct {
	cpuSeconds float64
	residentMB float64
	linkBytes  float64
}

// sample reads the current sample of the process.
func (w Process) sample(ctx context.Context) (sample, error) {
	var s sample
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.PID))
	if err != nil {
		return s, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	// The process name in parentheses may contain spaces, so the fields are counted after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return s, fmt.Errorf("watching %s: unexpected /proc/%d/stat", w.Name, w.PID)
	}
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return s, fmt.Errorf("watching %s: %w", w.Name, err)
		}
		s.cpuSeconds += ticks / ticksPerSecond
	}
	pages, err := strconv.ParseFloat(fields[resident], 64)
	if err != nil {
		return s, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	s.residentMB = pages * float64(os.Getpagesize()) / (1 << 20)
	s.linkBytes, err = w.linkBytes(ctx)
	return s, err
}

// metricsClient reads metrics of processes.
var metricsClient = connector.NewHTTPClient(nil)

// linkBytes returns the number of bytes that the process's links have sent and received since its start. It returns zero
// without a MetricsURL.
func (w Process) linkBytes(ctx context.Context) (float64, error) {
	if w.MetricsURL == "" {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.MetricsURL, nil)
	if err != nil {
		return 0, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	response, err := metricsClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	defer response.Body.Close()
	var vars struct {
		Masticway struct {
			Sent     float64 `json:"link_bytes_sent"`
			Received float64 `json:"link_bytes_received"`
		} `json:"masticway"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return 0, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	return vars.Masticway.Sent + vars.Masticway.Received, nil
}

// Run sends the load and returns its report.
func (d Drive) Run(ctx context.Context) (DriveReport, error) {
	before, err := d.samples(ctx)
	if err != nil {
		return DriveReport{}, err
	}
	start := time.Now()
	report := d.offerLoad(ctx, start)
	seconds := time.Since(start).Seconds()
	after, err := d.samples(ctx)
	if err != nil {
		return DriveReport{}, err
	}
	report.Usage = map[string]ResourceUsage{}
	for name, s := range after {
		report.Usage[name] = ResourceUsage{
			CoreShare: (s.cpuSeconds - before[name].cpuSeconds) / seconds, ResidentMB: s.residentMB, LinkBytes: (s.linkBytes - before[name].linkBytes) / seconds,
		}
	}
	return report, nil
}

func (d Drive) samples(ctx context.Context) (map[string]sample, error) {
	all := map[string]sample{}
	for _, w := range d.Processes {
		s, err := w.sample(ctx)
		if err != nil {
			return nil, err
		}
		all[w.Name] = s
	}
	return all, nil
}

// offerLoad sends requests at random times, regardless of the answers to earlier ones. It returns when the duration is over
// and all requests have ended. If ctx is done, it sends no more.
func (d Drive) offerLoad(ctx context.Context, start time.Time) DriveReport {
	random := rand.New(rand.NewPCG(uint64(d.Seed), 1))
	client := connector.NewHTTPClient(nil)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var report DriveReport
	first, between, whole := measurer.NewHistogram(), measurer.NewHistogram(), measurer.NewHistogram()
	at := time.Duration(0)
	for d.Rate > 0 {
		at += time.Duration(random.ExpFloat64() / d.Rate * float64(time.Second))
		if at >= d.Duration || !sleepUntil(ctx, start.Add(at)) {
			break
		}
		report.Requests++
		arrival := start.Add(at)
		url := d.BaseURLs[report.Requests%len(d.BaseURLs)]
		body := d.requestBody(report.Requests)
		wg.Go(func() {
			a := d.sendOnce(ctx, client, url, body, arrival)
			mu.Lock()
			defer mu.Unlock()
			if a.outcome != outcomeOK {
				return
			}
			report.OK++
			recordAnswer(first, between, whole, a, time.Since(arrival))
		})
	}
	wg.Wait()
	sleepUntil(ctx, start.Add(d.Duration))
	report.FirstToken, report.BetweenTokens, report.Whole = measurer.Summarize(first), measurer.Summarize(between), measurer.Summarize(whole)
	return report
}

// recordAnswer records the times of an answer. took is the time from the planned arrival of the request to the end of the
// answer.
func recordAnswer(first, between, whole *hdrhistogram.Histogram, a answer, took time.Duration) {
	_ = first.RecordValue(max(1, a.firstToken.Microseconds()))
	_ = whole.RecordValue(max(1, took.Microseconds()))
	for _, g := range a.tokenGaps {
		_ = between.RecordValue(max(1, g.Microseconds()))
	}
}

// requestBody returns the body of the nth request.
func (d Drive) requestBody(n int) []byte {
	p := plannedRequest{
		traffic:  Traffic{Model: d.Model, Stream: true, MaxTokens: d.Tokens},
		messages: []emulator.Message{{Role: "user", Content: fmt.Sprintf("%d %s [tokens=%d]", n, fillerText(d.PromptBytes, uint64(n)), d.Tokens)}},
	}
	return p.chatBody()
}

func (d Drive) sendOnce(ctx context.Context, client *http.Client, url string, body []byte, arrival time.Time) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{outcome: outcomeBroken}
	}
	request.Header.Set("Authorization", "Bearer "+d.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer{outcome: outcomeBroken}
	}
	defer response.Body.Close()
	a := answer{outcome: outcomeBroken}
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return a
	}
	readEvents(response.Body, &a, arrival)
	return a
}

// Print writes the report as text.
func (r DriveReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d ok\n", r.Requests, r.OK)
	printSummary(w, "first token", &r.FirstToken)
	printSummary(w, "between tokens", &r.BetweenTokens)
	printSummary(w, "whole", &r.Whole)
	for name, u := range r.Usage {
		fmt.Fprintf(w, "    %-20s %.4f of a core, %.1f MB resident, %.0f link bytes/s\n", name, u.CoreShare, u.ResidentMB, u.LinkBytes)
	}
}

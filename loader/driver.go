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

// Drive offers steady load to processes that run already, and watches what they use.
type Drive struct {
	// BaseURLs are base URLs of routers, or of a model engine to compare with.
	BaseURLs    []string
	Key         string
	Model       string
	Rate        float64
	Duration    time.Duration
	Tokens      int
	PromptBytes int
	Seed        int64
	Processes   []Process
}

// Process is a process whose use of the machine is measured.
type Process struct {
	Name string
	PID  int
	// MetricsURL is the URL of its metrics, or empty.
	MetricsURL string
}

// Use is what a watched process used on average.
type Use struct {
	// CoreShare is processor time for each second, in parts of a core.
	CoreShare float64 `json:"core_share"`
	// ResidentMB is its resident memory at the end.
	ResidentMB float64 `json:"resident_mb"`
	// LinkBytes is what its links sent and received in a second.
	LinkBytes float64 `json:"link_bytes_per_second"`
}

// DriveReport is the result of a drive.
type DriveReport struct {
	Requests   int              `json:"requests"`
	OK         int              `json:"ok"`
	FirstToken measurer.Summary `json:"first_token"`
	Between    measurer.Summary `json:"between_tokens"`
	Whole      measurer.Summary `json:"whole"`
	Uses       map[string]Use   `json:"uses"`
}

// ticksPerSecond is the kernel's unit of processor time in /proc.
const ticksPerSecond = 100

type sample struct {
	cpu   float64
	rss   float64
	bytes float64
}

func (w Process) sample(ctx context.Context) (sample, error) {
	var s sample
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.PID))
	if err != nil {
		return s, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	// The name in parentheses may hold blanks, so the fields are counted behind it.
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
		s.cpu += ticks / ticksPerSecond
	}
	pages, err := strconv.ParseFloat(fields[resident], 64)
	if err != nil {
		return s, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	s.rss = pages * float64(os.Getpagesize()) / (1 << 20)
	s.bytes, err = w.linkBytes(ctx)
	return s, err
}

func (w Process) linkBytes(ctx context.Context) (float64, error) {
	if w.MetricsURL == "" {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.MetricsURL, nil)
	if err != nil {
		return 0, fmt.Errorf("watching %s: %w", w.Name, err)
	}
	response, err := http.DefaultClient.Do(request)
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

// Run offers the load and returns what it saw.
func (d Drive) Run(ctx context.Context) (DriveReport, error) {
	before, err := d.samples(ctx)
	if err != nil {
		return DriveReport{}, err
	}
	began := time.Now()
	report := d.offer(ctx, began)
	seconds := time.Since(began).Seconds()
	after, err := d.samples(ctx)
	if err != nil {
		return DriveReport{}, err
	}
	report.Uses = map[string]Use{}
	for name, s := range after {
		report.Uses[name] = Use{
			CoreShare: (s.cpu - before[name].cpu) / seconds, ResidentMB: s.rss, LinkBytes: (s.bytes - before[name].bytes) / seconds,
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

// offer sends requests at random times that never wait for answers.
func (d Drive) offer(ctx context.Context, began time.Time) DriveReport {
	random := rand.New(rand.NewPCG(uint64(d.Seed), 1))
	client := connector.NewHTTPClient(nil)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var report DriveReport
	first, between, whole := measurer.NewHistogram(), measurer.NewHistogram(), measurer.NewHistogram()
	at := time.Duration(0)
	for d.Rate > 0 {
		at += time.Duration(random.ExpFloat64() / d.Rate * float64(time.Second))
		if at >= d.Duration || !sleepUntil(ctx, began.Add(at)) {
			break
		}
		report.Requests++
		due := began.Add(at)
		url := d.BaseURLs[report.Requests%len(d.BaseURLs)]
		body := d.body(report.Requests)
		wg.Go(func() {
			a := d.once(ctx, client, url, body, due)
			mu.Lock()
			defer mu.Unlock()
			if a.verdict != verdictOK {
				return
			}
			report.OK++
			recordAnswer(first, between, whole, a, time.Since(due))
		})
	}
	wg.Wait()
	sleepUntil(ctx, began.Add(d.Duration))
	report.FirstToken, report.Between, report.Whole = measurer.Summarize(first), measurer.Summarize(between), measurer.Summarize(whole)
	return report
}

func recordAnswer(first, between, whole *hdrhistogram.Histogram, a answer, took time.Duration) {
	_ = first.RecordValue(max(1, a.firstToken.Microseconds()))
	_ = whole.RecordValue(max(1, took.Microseconds()))
	for _, g := range a.gaps {
		_ = between.RecordValue(max(1, g.Microseconds()))
	}
}

func (d Drive) body(n int) []byte {
	p := planned{
		traffic:  Traffic{Model: d.Model, Stream: true, MaxTokens: d.Tokens},
		messages: []emulator.Message{{Role: "user", Content: fmt.Sprintf("%d %s [tokens=%d]", n, text(d.PromptBytes, uint64(n)), d.Tokens)}},
	}
	return p.chatBody()
}

func (d Drive) once(ctx context.Context, client *http.Client, url string, body []byte, due time.Time) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{verdict: verdictBroken}
	}
	request.Header.Set("Authorization", "Bearer "+d.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer{verdict: verdictBroken}
	}
	defer response.Body.Close()
	a := answer{verdict: verdictBroken}
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return a
	}
	readEvents(response.Body, &a, due)
	return a
}

// Print writes the report as text.
func (r DriveReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d ok\n", r.Requests, r.OK)
	printSummary(w, "first token", &r.FirstToken)
	printSummary(w, "between tokens", &r.Between)
	printSummary(w, "whole", &r.Whole)
	for name, u := range r.Uses {
		fmt.Fprintf(w, "    %-20s %.4f of a core, %.1f MB resident, %.0f link bytes/s\n", name, u.CoreShare, u.ResidentMB, u.LinkBytes)
	}
}

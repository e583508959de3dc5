package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/loader"
)

// driveFlags are the flags of the load drive command.
type driveFlags struct {
	callers  string // base URLs to which load is sent, separated by commas
	key      string
	model    string
	rate     string // requests per second
	duration time.Duration
	tokens   int    // output tokens of each request
	prompt   int    // bytes of each prompt
	watch    string // processes to measure, separated by commas
}

func driveCommand() *command {
	f := &driveFlags{model: "draft", rate: "10", duration: 10 * time.Second, tokens: 50, prompt: 400}
	return &command{
		name: "drive", description: "send steady load to running processes and measure their resource use",
		example: "masticway load drive --callers http://127.0.0.1:8001 --key mw_example_tailoring --rate 20 --watch router=4711@http://127.0.0.1:8101/debug/vars",
		flags: func(s *flaggy.Subcommand) {
			s.String(&f.callers, "", "callers", "comma-separated base URLs of routers or engines")
			s.String(&f.key, "", "key", "caller key")
			s.String(&f.model, "", "model", "model to request")
			s.String(&f.rate, "", "rate", "requests per second; 0 only watches")
			s.Duration(&f.duration, "", "duration", "how long to send load")
			s.Int(&f.tokens, "", "tokens", "output tokens of each request")
			s.Int(&f.prompt, "", "prompt-bytes", "bytes of each prompt")
			s.String(&f.watch, "", "watch", "comma-separated processes to watch, as NAME=PID or NAME=PID@VARS_URL")
		},
		run: func(ctx context.Context, e env) error { return runDrive(ctx, e, *f) },
	}
}

func runDrive(ctx context.Context, e env, f driveFlags) error {
	rate, err := strconv.ParseFloat(f.rate, 64)
	if err != nil || rate < 0 {
		return &usageError{reason: "--rate is a number, 0 or more"}
	}
	if rate > 0 && f.callers == "" {
		return &usageError{reason: "--callers is needed"}
	}
	watched, err := parseWatch(f.watch)
	if err != nil {
		return err
	}
	report, err := loader.Drive{
		BaseURLs: strings.Split(f.callers, ","), Key: f.key, Model: f.model, Rate: rate, Duration: f.duration,
		Tokens: f.tokens, PromptBytes: f.prompt, Seed: 1, Processes: watched,
	}.Run(ctx)
	if err != nil {
		return err
	}
	report.Print(e.out)
	return nil
}

// parseWatch parses the watch flag: processes as NAME=PID or NAME=PID@METRICS_URL, separated by commas.
func parseWatch(list string) ([]loader.Process, error) {
	var watched []loader.Process
	for part := range strings.SplitSeq(list, ",") {
		if part == "" {
			continue
		}
		name, rest, ok := strings.Cut(part, "=")
		pid, vars, _ := strings.Cut(rest, "@")
		n, err := strconv.Atoi(pid)
		if !ok || err != nil {
			return nil, &usageError{reason: fmt.Sprintf("--watch %q is not NAME=PID", part)}
		}
		watched = append(watched, loader.Process{Name: name, PID: n, MetricsURL: vars})
	}
	return watched, nil
}

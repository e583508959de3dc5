package commander

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/accountant"
)

// accountFlags are the flags and log files of the account command.
type accountFlags struct {
	files   []string
	request string        // if it is set, this request is traced instead of a report
	bucket  time.Duration // the length of a time bucket
	rows    int           // the maximum number of rows of a table
	json    bool
}

func accountCommand() *command {
	f := &accountFlags{bucket: time.Second, rows: 20}
	return &command{
		name: "account", description: "report from gateway logs where requests and tokens went",
		example: "masticway account --bucket 1m edge-1.log edge-2.log",
		values:  &f.files, valuesHelp: "log files of any number of routers, those of one router in chronological order; - is standard input",
		flags: func(s *flaggy.Subcommand) {
			s.String(&f.request, "", "request", "id of a single request to trace instead")
			s.Duration(&f.bucket, "", "bucket", "length of the time buckets, such as 1s or 10m")
			s.Int(&f.rows, "", "rows", "maximum rows of a table that is not in chronological order; 0 is all")
			s.Bool(&f.json, "", "json", "write JSON, with all rows")
		},
		run: func(_ context.Context, e env) error { return runAccount(e, *f) },
	}
}

func runAccount(e env, f accountFlags) error {
	if f.bucket <= 0 || f.rows < 0 {
		return &usageError{reason: "--bucket is over 0, and --rows is 0 or more"}
	}
	account := accountant.New(f.bucket, f.request)
	for _, name := range f.files {
		if err := readLog(account, name); err != nil {
			return err
		}
	}
	if f.request != "" {
		trace, err := account.Trace()
		if err != nil {
			return err
		}
		return printAccount(e, f.json, trace, trace.Print)
	}
	report, err := account.Report()
	if err != nil {
		return err
	}
	return printAccount(e, f.json, report, func(w io.Writer) error { return report.Print(w, f.rows) })
}

// printAccount prints v as JSON if asJSON is set, and calls text to print it otherwise.
func printAccount(e env, asJSON bool, v any, text func(w io.Writer) error) error {
	if !asJSON {
		return text(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// readLog adds the lines of a log file to the account. The name "-" stands for standard input.
func readLog(account *accountant.Analyzer, name string) error {
	if name == "-" {
		return account.Read(name, os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return account.Read(name, file)
}

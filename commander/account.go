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

// accountFlags are the flags and files of the account command.
type accountFlags struct {
	files   []string
	request string
	bucket  time.Duration
	rows    int
	json    bool
}

func accountCommand() *command {
	f := &accountFlags{bucket: time.Second, rows: 20}
	return &command{
		name: "account", description: "tell from gateways' logs where requests and tokens went",
		example: "masticway account --bucket 1m edge-1.log edge-2.log",
		values:  &f.files, valuesHelp: "log files of any number of routers, each router's in the order of time; - is standard input",
		flags: func(s *flaggy.Subcommand) {
			s.String(&f.request, "", "request", "id of one request, of which the story is told instead")
			s.Duration(&f.bucket, "", "bucket", "length of the buckets of time, as 1s or 10m")
			s.Int(&f.rows, "", "rows", "most rows of a table that is not in the order of time; 0 is all")
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
		story, err := account.Trace()
		if err != nil {
			return err
		}
		return showAccount(e, f.json, story, story.Print)
	}
	report, err := account.Report()
	if err != nil {
		return err
	}
	return showAccount(e, f.json, report, func(w io.Writer) error { return report.Print(w, f.rows) })
}

// showAccount writes a value as JSON, or as text by its own function.
func showAccount(e env, asJSON bool, v any, text func(w io.Writer) error) error {
	if !asJSON {
		return text(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

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

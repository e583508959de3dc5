package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/joomcode/errorx"
)

// Exit codes of all commands.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// version is the version of the program, as in the changelog.
const version = "0.1.0"

// usageError reports invalid flags or arguments. The program then exits with exitUsage.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// env holds the writers for a command's output and errors.
type env struct {
	out io.Writer
	err io.Writer
}

// command is a command or a group of subcommands. A group may also be a command itself.
type command struct {
	name        string
	description string
	example     string
	// flags declares the flags and positional values of the command. It is nil if there are none.
	flags func(s *flaggy.Subcommand)
	// values receives the arguments of a command that takes one or more of them. It is nil for other commands. valuesHelp
	// describes the arguments.
	values     *[]string
	valuesHelp string
	// run runs the command. It is nil for a group of subcommands that is not itself a command.
	run         func(ctx context.Context, e env) error
	subcommands []*command
}

// Main runs the command that args name and returns the exit code. SIGINT and SIGTERM cancel the command's context.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := env{out: out, err: errOut}
	err := dispatch(ctx, e, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "masticway: %v\n", err)
	if _, ok := errors.AsType[*usageError](err); ok {
		return exitUsage
	}
	return exitFailure
}

// dispatch finds the command that args name and runs it, or prints help. It puts the command's path before each error that
// is not a usageError.
func dispatch(ctx context.Context, e env, args []string) error {
	c, rest, path := findCommand(commands(), args)
	if c == nil {
		if len(args) > 0 && !isHelp(args) {
			return &usageError{reason: fmt.Sprintf("no command %q; see masticway --help", strings.Join(args, " "))}
		}
		printOverview(e.out)
		return nil
	}
	if isHelp(rest) {
		return printHelp(e.out, c, path)
	}
	if c.run == nil {
		return &usageError{reason: fmt.Sprintf("%s needs one of: %s", path, commandNames(c.subcommands))}
	}
	if err := parse(c, path, rest); err != nil {
		return err
	}
	err := c.run(ctx, e)
	if _, ok := errors.AsType[*usageError](err); ok || err == nil {
		return err
	}
	return errorx.Decorate(err, "%s", path)
}

// findCommand returns the command that the first arguments name, the remaining arguments, and the command's path, such as
// "masticway budget show". The command is nil if the first argument names none.
func findCommand(list []*command, args []string) (found *command, rest []string, path string) {
	path = "masticway"
	for len(args) > 0 {
		next := commandByName(list, args[0])
		if next == nil {
			break
		}
		found = next
		path += " " + next.name
		list = next.subcommands
		args = args[1:]
	}
	return found, args, path
}

func commandByName(list []*command, name string) *command {
	for _, c := range list {
		if c.name == name {
			return c
		}
	}
	return nil
}

func commandNames(list []*command) string {
	all := make([]string, 0, len(list))
	for _, c := range list {
		all = append(all, c.name)
	}
	return strings.Join(all, ", ")
}

func isHelp(args []string) bool {
	for _, a := range args {
		if a == "--help" || a == "-h" {
			return true
		}
	}
	return false
}

// parse parses a command's flags and arguments into the variables that the command declares. flaggy's own handling of help and
// version is disabled, because it exits the process.
func parse(c *command, path string, args []string) (err error) {
	p := flaggy.NewParser(path)
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	p.ShowHelpOnUnexpected = false
	if c.flags != nil {
		c.flags(&p.Subcommand)
	}
	if c.values != nil {
		*c.values, args = splitValues(p, args)
		if len(*c.values) == 0 {
			return &usageError{reason: fmt.Sprintf("%s: a value is missing (%s)", path, c.valuesHelp)}
		}
	}
	if err := validateArgs(p, path, args); err != nil {
		return err
	}
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if r := recover(); r != nil {
			err = &usageError{reason: fmt.Sprintf("%s: %v", path, r)}
		}
	}()
	if err := p.ParseArgs(args); err != nil {
		return &usageError{reason: fmt.Sprintf("%s: %v", path, err)}
	}
	return nil
}

// splitValues splits a command's arguments into its values and its flags. flags includes the values of the flags.
func splitValues(p *flaggy.Parser, args []string) (values, flags []string) {
	for i := 0; i < len(args); i++ {
		name, isFlag := strings.CutPrefix(args[i], "--")
		if !isFlag {
			values = append(values, args[i])
			continue
		}
		flags = append(flags, args[i])
		if consumesNextArg(p, name) && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	return values, flags
}

// consumesNextArg reports whether the value of a flag is the next argument. It is not if the flag is boolean or is written
// as NAME=VALUE.
func consumesNextArg(p *flaggy.Parser, name string) bool {
	if strings.Contains(name, "=") {
		return false
	}
	for _, f := range p.Flags {
		if _, isSwitch := f.AssignmentVar.(*bool); isSwitch && f.LongName == name {
			return false
		}
	}
	return true
}

// validateArgs returns a usageError for unknown flags and for missing or surplus values. The parser would exit the process
// for these.
func validateArgs(p *flaggy.Parser, path string, args []string) error {
	values := 0
	for i := 0; i < len(args); i++ {
		name, isFlag := strings.CutPrefix(args[i], "--")
		if !isFlag {
			values++
			continue
		}
		flagName, _, _ := strings.Cut(name, "=")
		if !hasFlag(p, flagName) {
			return &usageError{reason: fmt.Sprintf("%s: unknown flag --%s", path, flagName)}
		}
		if consumesNextArg(p, name) {
			i++
		}
		if i == len(args) {
			return &usageError{reason: fmt.Sprintf("%s: --%s needs a value", path, flagName)}
		}
	}
	for _, v := range p.PositionalFlags {
		if v.Required && v.Position > values {
			return &usageError{reason: fmt.Sprintf("%s: %s is missing (%s)", path, v.Name, v.Description)}
		}
	}
	if values > len(p.PositionalFlags) {
		return &usageError{reason: fmt.Sprintf("%s: unexpected %q", path, args)}
	}
	return nil
}

func hasFlag(p *flaggy.Parser, name string) bool {
	for _, f := range p.Flags {
		if f.LongName == name {
			return true
		}
	}
	return false
}

func printOverview(out io.Writer) {
	fmt.Fprintf(out, "masticway %s: a router fleet for prepaid token budgets\n\ncommands:\n", version)
	for _, c := range commands() {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.description)
	}
	fmt.Fprintf(out, "\n`masticway COMMAND --help` shows flags and an example.\n")
}

func printHelp(out io.Writer, c *command, path string) error {
	fmt.Fprintf(out, "%s: %s\n", path, c.description)
	for _, s := range c.subcommands {
		fmt.Fprintf(out, "  %-10s %s\n", s.name, s.description)
	}
	if c.values != nil {
		fmt.Fprintf(out, "  %-18s %s\n", "VALUE...", c.valuesHelp)
	}
	if c.flags != nil {
		p := flaggy.NewParser(path)
		c.flags(&p.Subcommand)
		for _, v := range p.PositionalFlags {
			fmt.Fprintf(out, "  %-18s %s\n", strings.ToUpper(v.Name), v.Description)
		}
		for _, f := range p.Flags {
			if f.LongName == "help" || f.LongName == "version" {
				continue
			}
			fmt.Fprintf(out, "  --%-16s %s\n", f.LongName, f.Description)
		}
	}
	if c.example != "" {
		fmt.Fprintf(out, "\nexample:\n  %s\n", c.example)
	}
	return nil
}

// Command badgerbay runs a controller node of the badgerbay cluster scheduler. It is also the client with
// which operators submit, query and cancel jobs. This package handles the command line, the logger, the Go
// runtime's limits and the exit status; package node implements the node.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/alecthomas/kong"

	"badgerbay/internal/config"
)

// version is set at build time in release builds.
var version = "dev"

// Exit statuses of a failed process.
const (
	exitFailure = 1
	exitUsage   = 2 // the arguments, the settings or the policy are invalid
)

// cli defines the command line. The names of commands and flags derive from the field names.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller node (the default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings and the policy, and exit."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Submit  submitCmd  `cmd:"" help:"Submit a job from a JSON file."`
	Status  statusCmd  `cmd:"" help:"Print the state of a job."`
	Cancel  cancelCmd  `cmd:"" help:"Cancel a job." aliases:"withdraw"`
	Quota   quotaCmd   `cmd:"" help:"Show what a node holds of the teams' limits; at the leader, how the teams stand."`
	Standby standbyCmd `cmd:"" help:"Tell whether a node is ready to take over from the leader."`
}

func newParser(options ...kong.Option) (*kong.Kong, error) {
	description := kong.Description("A cluster scheduler's controller node and its client.")
	return kong.New(new(cli), append(options, kong.Name("badgerbay"), description)...)
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "badgerbay:", err)
		os.Exit(exitStatus(err))
	}
}

func run(args []string) error {
	parser, err := newParser()
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run()
}

// exitStatus returns exitUsage for invalid arguments, settings or policy, which the operator must correct,
// and exitFailure for any other error.
func exitStatus(err error) int {
	var parseErr *kong.ParseError
	var fieldErr *config.FieldError
	if errors.As(err, &parseErr) || errors.As(err, &fieldErr) {
		return exitUsage
	}
	return exitFailure
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("badgerbay", version, runtime.Version())
	return nil
}

// Command badgerbay is one controller node of the badgerbay cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"badgerbay/internal/node"

	"github.com/alecthomas/kong"

	"badgerbay/internal/config"
	"badgerbay/internal/featuregate"
	"badgerbay/internal/policy"
)

// version is set at build time where a release is made.
var version = "dev"

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

type settingsFlags struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file (JSON) of this node."`
	Policy string `placeholder:"FILE" env:"BADGERBAY_POLICY" help:"Starlark script of the operators' settings."`
}

func (f *settingsFlags) load() (*config.Settings, *policy.Policy, error) {
	set, err := config.Load(f.Config)
	if err != nil {
		return nil, nil, err
	}
	pol, err := policy.Load(f.Policy)
	if err != nil {
		return nil, nil, err
	}
	return set, pol, pol.Features.Check(set.Params)
}

type serveCmd struct{ settingsFlags }

// Run serves until the process is told to end.
func (c *serveCmd) Run() error {
	set, pol, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	applyMachineLimits(set.Params.MachineLimits)
	node, err := node.NewNode(set, pol, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.Run(ctx)
}

// applyMachineLimits fits the runtime to what the machine grants the process.
func applyMachineLimits(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.CPUs))))
	debug.SetMemoryLimit(int64(l.MemoryMB * 0.7 * (1 << 20)))
}

type checkCmd struct{ settingsFlags }

// Run checks the settings.
func (c *checkCmd) Run() error {
	set, _, err := c.load()
	if err == nil {
		fmt.Printf("%s: settings are good\n", set.NodeName)
	}
	return err
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("badgerbay", version, runtime.Version())
	return nil
}

func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	l := slog.LevelInfo
	switch level {
	case "", "info":
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, &config.FieldError{Field: "LOG_LEVEL", Reason: fmt.Sprintf("%q is not error, info or debug", level)}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})), nil
}

// exitUsage is the status for settings or arguments that can't be used.
const exitUsage = 2

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("badgerbay"), kong.Description("A cluster scheduler's controller node and its client."))
	ctx, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = ctx.Run()
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "badgerbay:", err)
	os.Exit(exitStatus(err))
}

func exitStatus(err error) int {
	var field *config.FieldError
	var pol *policy.Error
	var wrong *featuregate.Error
	var parse *kong.ParseError
	if errors.As(err, &field) || errors.As(err, &pol) || errors.As(err, &wrong) || errors.As(err, &parse) {
		return exitUsage
	}
	return 1
}

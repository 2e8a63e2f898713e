package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"badgerbay/internal/config"
	"badgerbay/internal/node"
	"badgerbay/internal/policy"
)

// memoryLimitShare is the share of the machine's memory that the Go runtime may use. The rest is for
// thread stacks, the kernel's buffers and the program itself.
const memoryLimitShare = 0.7

// settingsFlags are the flags that name the settings file and the policy script.
type settingsFlags struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file (JSON) of this node."`
	Policy string `placeholder:"FILE" env:"BADGERBAY_POLICY" help:"Starlark script of the operators' settings."`
}

// load reads the settings and the policy, and checks that the policy's features suit the settings.
func (f *settingsFlags) load() (*config.Settings, *policy.Policy, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, nil, err
	}
	operatorPolicy, err := policy.Load(f.Policy)
	if err != nil {
		return nil, nil, err
	}
	if err := operatorPolicy.Features.Check(settings.Params); err != nil {
		return nil, nil, err
	}
	return settings, operatorPolicy, nil
}

type serveCmd struct{ settingsFlags }

// Run runs the node until the process receives SIGINT or SIGTERM.
func (c *serveCmd) Run() error {
	settings, operatorPolicy, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	applyMachineLimits(settings.Params.MachineLimits)
	controllerNode, err := node.New(settings, operatorPolicy, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controllerNode.Run(ctx)
}

// applyMachineLimits sets the Go runtime's parallelism and memory limit from the machine's limits.
func applyMachineLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.CPUs))))
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitShare * (1 << 20)))
}

// newLogger returns a logger of the given level, which is error, info or debug. An empty level means info.
func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	switch level {
	case "", "info":
		minLevel = slog.LevelInfo
	case "error":
		minLevel = slog.LevelError
	case "debug":
		minLevel = slog.LevelDebug
	default:
		return nil, config.FieldErrorf("LOG_LEVEL", "%q is not error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel})), nil
}

type checkCmd struct{ settingsFlags }

// Run loads the settings and the policy, and prints that they are valid or returns an error.
func (c *checkCmd) Run() error {
	settings, _, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings are good\n", settings.NodeName)
	return nil
}

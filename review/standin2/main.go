// Command standin2 plays a case of the review: it starts the controllers as processes and stands in for the state
// service, the cloud, the workers and the users on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scene is a deployment that runs, with the links between its parts.
type scene struct {
	*world
	ctx     context.Context
	mesh    map[[2]int]*link
	trouble bool // whether the case brings about its disruption
	dir     string
	// oldCommand, if set, starts the controllers in an earlier version; newCommand is that of the deploy file.
	oldCommand, newCommand []string
	policy                 func() []string // environment of a controller that starts; nil: nothing is added
}

func isRefused(err error) bool {
	var urlErr *url.Error
	return errors.As(err, &urlErr) && errors.Is(err, syscall.ECONNREFUSED)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitCannotRun
	}
	log, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "badgerbay-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 116*time.Second)
	defer cancel()
	s := &scene{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	s.world = newWorld(smallDeployment(), log, machineTypes(), machineCapacity())
	err = run(s)
	for _, n := range s.nodes {
		if n.process != nil && n.endedByItself() {
			s.mu.Lock()
			s.breach("crash", "controller %s has ended by itself", n.label)
			s.mu.Unlock()
		}
	}
	for _, n := range s.nodes {
		if n.process != nil {
			n.process.Process.Signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if err != nil {
		log.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) > 0 {
		fmt.Println("broken:", s.broken[0], "and", len(s.broken)-1, "more")
		return exitBroken
	}
	log.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

// begin starts the stand-ins and the controllers, and waits until they are healthy.
func (s *scene) begin(zones []string) error {
	var err error
	if s.state, err = startStateService(s.ctx, s.clock, len(zones), s.params.State, s.log); err != nil {
		return err
	}
	if s.cloud, err = startCloud(s.ctx, s.world); err != nil {
		return err
	}
	if s.mesh, err = s.startNodes(s.ctx, s.dir, zones); err != nil {
		return err
	}
	go s.run(s.ctx)
	s.newCommand = s.nodes[0].command
	for _, n := range s.nodes {
		if s.oldCommand != nil {
			n.command = s.oldCommand
		}
	}
	for _, n := range s.nodes {
		if s.policy != nil {
			n.env = s.policy()
		}
		if err = n.start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if !n.waitReady(20*time.Second) || n.endedByItself() {
			return fmt.Errorf("controller %s is not healthy, see %s", n.label, filepath.Base(n.logPath))
		}
	}
	return nil
}

// waitFor waits until the condition holds, and reports whether it does before the timeout. The condition runs under the
// lock of the world.
func (s *scene) waitFor(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && s.ctx.Err() == nil {
		s.mu.Lock()
		ok := condition()
		s.mu.Unlock()
		if ok {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func smallDeployment() params {
	return params{Nodes: 3, Zones: []string{"ankara", "istanbul"},
		Teams:   []team{{Name: "kontrolor-00"}, {Name: "limited", CPUsMax: 12}},
		Workers: workerParams{ReportS: 3, LeaseS: 27, GangWaitS: 35, GangPeerS: 8, CancelS: 52},
		State:   stateParams{RPS: 150, WriteRPS: 20, ValueKB: 8, TxnOps: 8}, Cloud: cloudParams{RPS: 5, ListLagS: 3},
		Machine: machineLimits{CPU: 0.24, MemMB: 179, MaxSockets: 1800}, ClockError: 250}
}

func machineTypes() []*fleet.MachineType {
	zones := []ident.Zone{"ankara", "istanbul"}
	return []*fleet.MachineType{
		{Name: "kucuk", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, CacheGB: 50, FetchGBps: 2, HourlyPrice: 0.24, HourlySpotPrice: 0.07, BootTime: 4 * time.Second, Zones: zones},
		{Name: "orta", Capacity: jobs.Resources{CPUs: 16, MemoryGB: 64}, CacheGB: 80, FetchGBps: 2, HourlyPrice: 1.02, HourlySpotPrice: 0.31, BootTime: 3 * time.Second, Zones: zones},
	}
}

func machineCapacity() map[cloud.Offer]int {
	capacity := map[cloud.Offer]int{}
	for _, t := range []ident.MachineType{"kucuk", "orta"} {
		for _, z := range []ident.Zone{"ankara", "istanbul"} {
			capacity[cloud.Offer{Type: t, Zone: z}] = 10
			capacity[cloud.Offer{Type: t, Zone: z, Spot: true}] = 4
		}
	}
	return capacity
}

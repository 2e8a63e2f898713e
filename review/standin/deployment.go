package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// deployment is a small deployment: controllers, and the stand-ins around them.
type deployment struct {
	rec   *recorder
	store *store
	state *stateServer
	cloud *cloud
	nodes []*node
	users *users
	book  *jobBook
	gangs *gangBook

	starts atomic.Int64 // tasks that have started on machines
}

// site describes a deployment. The values of the cases are those of a site file of the kit.
type site struct {
	nodeZones  []string
	restart    time.Duration // until a node that has ended is back
	memoryMB   float64
	cpu        float64
	sockets    int
	stateRPS   float64
	writeRPS   float64
	valueKB    int
	txnOps     int
	latency    time.Duration // of the state service
	cloudRPS   float64
	listLag    time.Duration
	report     time.Duration
	lease      time.Duration
	cancel     time.Duration
	gangWait   float64
	gangPeer   float64
	clockError float64
	zones      []string
	teams      []map[string]any
	types      []*machineType
	capacity   map[string]int
	up         map[string]int // machines that are up at the start, by offer
}

// newDeployment starts the stand-ins of a site and writes the settings of its nodes, which it does not
// start. observe is told of the tasks on the machines.
func newDeployment(ctx context.Context, dir string, command []string, s *site, rec *recorder, observe taskObserver) (*deployment, error) {
	d := &deployment{rec: rec, store: newStore(s.valueKB<<10, s.txnOps), book: &jobBook{specs: map[string]spec{}}}
	d.gangs = &gangBook{wait: time.Duration(s.gangWait * float64(time.Second)), members: map[string]map[string]bool{}, begun: map[string]bool{}}
	d.state = &stateServer{store: d.store, rec: rec, requests: newBucket(s.stateRPS), writes: newBucket(s.writeRPS), latency: s.latency}
	d.cloud = &cloud{rec: rec, calls: newBucket(2 * s.cloudRPS), listLag: s.listLag, types: s.types, capacity: s.capacity, hires: map[string][]string{}}
	d.cloud.calls.rate = s.cloudRPS
	stateAddr, err := serve(ctx, d.state)
	if err != nil {
		return nil, err
	}
	cloudAddr, err := serve(ctx, d.cloud)
	if err != nil {
		return nil, err
	}
	go d.state.run(ctx)
	external := map[string]string{"cloud": cloudAddr, "state": stateAddr}
	if d.nodes, err = newNodes(dir, command, s.nodeZones, s.params(), external, rec); err != nil {
		return nil, err
	}
	var addrs []nodeAddr
	for _, n := range d.nodes {
		addrs = append(addrs, nodeAddr{n.name, n.client})
	}
	count := func(machine, task string, attempt uint64, event string) {
		if event == "starts" {
			d.starts.Add(1)
		}
		rec.logf("worker %s: %s try %d %s", machine, task, attempt, event)
		observe(machine, task, attempt, event)
	}
	d.cloud.boot = func(m *machine) {
		w := &worker{nodes: addrs, book: d.book, gangs: d.gangs, observe: count, rec: rec, report: s.report, lease: s.lease}
		if err := startWorker(ctx, m, w); err != nil {
			rec.logf("worker of %s not started: %v", m.id, err)
		}
	}
	d.cloud.mu.Lock()
	for _, typ := range s.types {
		for _, zone := range s.zones {
			for range s.up[offerKey(typ.name, zone, false)] {
				d.cloud.add(typ, zone, false, true)
			}
		}
	}
	d.cloud.mu.Unlock()
	d.users = newUsers(rec, d.book, d.nodes)
	return d, nil
}

// params returns the params of the settings file.
func (s *site) params() map[string]any {
	return map[string]any{
		"nodes": len(s.nodeZones), "zones": s.zones, "teams": s.teams, "objectives": []any{},
		"workers": map[string]any{"report_s": s.report.Seconds(), "lease_s": s.lease.Seconds(), "gang_wait_s": s.gangWait,
			"gang_peer_s": s.gangPeer, "cancel_s": s.cancel.Seconds()},
		"state":          map[string]any{"rps": s.stateRPS, "write_rps": s.writeRPS, "value_kb": s.valueKB, "txn_ops": s.txnOps},
		"cloud":          map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLag.Seconds()},
		"machine_limits": map[string]any{"cpu": s.cpu, "mem_mb": s.memoryMB, "max_sockets": s.sockets},
		"clock_error_ms": s.clockError,
	}
}

// startNodes starts all nodes and the load balancer.
func (d *deployment) startNodes(ctx context.Context) error {
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return fmt.Errorf("starting %s: %w", n.name, err)
		}
	}
	go d.users.probe(ctx)
	return nil
}

func (d *deployment) stopNodes() {
	for _, n := range d.nodes {
		n.kill()
	}
}

// leader returns the node that the leader key names, or nil.
func (d *deployment) leader() *node {
	name := d.state.leaderName()
	for _, n := range d.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// recordMemory records the memory of the nodes.
func (d *deployment) recordMemory() {
	for _, n := range d.nodes {
		d.rec.logf("node %s: holds %.0f MiB", n.name, n.residentMB())
	}
}

// recordRoom records how much room the machines that are up have.
func (d *deployment) recordRoom() {
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	for _, m := range d.cloud.machines {
		if m.worker == nil || !m.gone.IsZero() {
			continue
		}
		m.worker.mu.Lock()
		cpus, memory := m.typ.cpus, m.typ.memoryGB
		for _, t := range m.worker.tasks {
			if t.state != "exited" {
				cpus, memory = cpus-t.spec.cpus, memory-t.spec.memoryGB
			}
		}
		m.worker.mu.Unlock()
		d.rec.logf("machine %s, %s in %s: %.0f of %.0f CPUs and %.1f of %.0f GB are free", m.id, m.typ.name, m.zone, cpus, m.typ.cpus, memory, m.typ.memoryGB)
	}
}

// running returns how many tasks of a job run on machines.
func (d *deployment) running(job string) int {
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	n := 0
	for _, m := range d.cloud.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		for _, t := range m.worker.tasks {
			if t.state == "running" && strings.HasPrefix(t.id, job+"/") {
				n++
			}
		}
		m.worker.mu.Unlock()
	}
	return n
}

// emptiest returns the machine with the fewest tasks.
func (d *deployment) emptiest() *machine {
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	return slices.MinFunc(d.cloud.machines, func(a, b *machine) int { return cmp.Compare(len(a.worker.tasks), len(b.worker.tasks)) })
}

// setUpFailed copies the nodes' logs to the record and returns the error.
func (d *deployment) setUpFailed(format string, args ...any) error {
	copyLogs(d.rec, d.nodes, "level=", "client_listen", "mesh_addr")
	return fmt.Errorf("set-up: "+format, args...)
}

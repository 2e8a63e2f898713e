package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// anadolu returns the site of the kit's file sites/anadolu-defter.toml, with a smaller capacity: one
// machine of type orta in each zone, which are up at the start.
func anadolu() *site {
	zones := []string{"istanbul", "ankara", "izmir", "bursa"}
	orta := &machineType{name: "orta", cpus: 16, memoryGB: 64, hourly: 1.02, spotPrice: 0.31, cacheGB: 80, fetchGBs: 0.6,
		boot: 15 * time.Second, zones: zones}
	s := &site{
		nodeZones: []string{"istanbul", "ankara", "istanbul"}, restart: 6 * time.Second, memoryMB: 179, cpu: 0.24, sockets: 1800,
		stateRPS: 150, writeRPS: 20, valueKB: 8, txnOps: 8, latency: 2 * time.Millisecond, cloudRPS: 5, listLag: 3 * time.Second,
		report: 3 * time.Second, lease: 27 * time.Second, cancel: 52 * time.Second, gangWait: 35, gangPeer: 8, clockError: 250,
		zones: zones, types: []*machineType{orta}, capacity: map[string]int{}, up: map[string]int{},
	}
	for n := range 12 {
		s.teams = append(s.teams, map[string]any{"name": fmt.Sprintf("kontrolor-%02d", n), "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
	}
	for _, zone := range zones {
		s.up[offerKey("orta", zone, false)] = 1
	}
	return s
}

// yevmiye returns a service of the site's class of that name, bound to a zone.
func yevmiye(id, zone string) (spec, map[string]any) {
	s := spec{entries: 1, cpus: 1, memoryGB: 3, bundle: "img-01", imageGB: 0.8, service: true}
	return s, map[string]any{"id": id, "ledgerClass": "yevmiye", "desk": "kontrolor-00", "shape": "service", "rank": "prod",
		"entries": 1, "cpus": s.cpus, "accelerators": 0.0, "memoryGb": s.memoryGB, "bundle": s.bundle, "imageGb": s.imageGB,
		"frames": nil, "hall": zone, "samePlace": false, "apart": false, "loaner": false, "expectedS": 0.0,
		"folioS": 0.0, "bindS": 0.0, "dueS": nil}
}

// mutabakat returns a job of the site's class of that name, with a short run time.
func mutabakat(id, desk, bundle string, entries int, run time.Duration) (spec, map[string]any) {
	s := spec{entries: entries, cpus: 2, memoryGB: 7.2, bundle: bundle, imageGB: 0.3, runTime: run}
	return s, map[string]any{"id": id, "ledgerClass": "mutabakat", "desk": desk, "shape": "batch", "rank": "standard",
		"entries": entries, "cpus": s.cpus, "accelerators": 0.0, "memoryGb": s.memoryGB, "bundle": bundle, "imageGb": s.imageGB,
		"frames": nil, "hall": nil, "samePlace": false, "apart": false, "loaner": true, "expectedS": run.Seconds(),
		"folioS": 0.0, "bindS": 0.0, "dueS": 2*run.Seconds() + 15}
}

// mistakes is the number of jobs that are submitted with a mistake, one after the other, and soundPerMistake
// the number of jobs without a mistake that are submitted before each.
const (
	mistakes        = 4
	soundPerMistake = 3
)

// playMistakes plays the case in which some jobs are submitted with a mistake, fail on every machine, and
// are cancelled by their users.
func playMistakes(ctx context.Context, dir string, command []string, trouble bool, rec *recorder) (int, error) {
	starts := &startLog{first: map[string]time.Time{}}
	s := anadolu()
	d, err := newDeployment(ctx, dir, command, s, rec, starts.observe)
	if err != nil {
		return failed, err
	}
	defer d.stopNodes()
	d.state.limited.Store(true)
	if err := d.startNodes(ctx); err != nil {
		return failed, err
	}
	// One replica in each zone, and an array that shows that the machines have room for others.
	var wg sync.WaitGroup
	for n, zone := range s.zones {
		wg.Go(func() {
			id := fmt.Sprintf("wk-00000%d", n)
			replica, fields := yevmiye(id, zone)
			d.users.submit(ctx, id, replica, fields)
		})
	}
	wg.Wait()
	ready := waitUntil(ctx, 25*time.Second, func() bool {
		return starts.started("wk-000000") && starts.started("wk-000001") && starts.started("wk-000002") && starts.started("wk-000003")
	})
	if !ready {
		return failed, d.setUpFailed("the replicas did not start")
	}
	first, fields := mutabakat("wk-000010", "kontrolor-01", "img-02", 8, time.Second)
	if !d.users.submit(ctx, "wk-000010", first, fields) || !waitUntil(ctx, 15*time.Second, func() bool { return starts.started("wk-000010") }) {
		return failed, d.setUpFailed("the first array did not start")
	}
	rec.logf("set-up complete")

	for n := range mistakes {
		for k := range soundPerMistake {
			id := fmt.Sprintf("wk-00%d%d00", 1+n, k)
			sound, soundFields := mutabakat(id, "kontrolor-01", "img-02", 2, time.Second)
			wg.Go(func() { d.users.submit(ctx, id, sound, soundFields) })
		}
		sleep(ctx, 2500*time.Millisecond)
		if !trouble {
			continue
		}
		wg.Go(func() {
			id := fmt.Sprintf("wk-00002%d", n)
			mistaken, mistakenFields := mutabakat(id, fmt.Sprintf("kontrolor-%02d", 2+n), fmt.Sprintf("img-1%d", n), 4, time.Second)
			mistaken.mistaken = true
			d.users.submit(ctx, id, mistaken, mistakenFields)
			sleep(ctx, 6*time.Second)
			d.users.withdraw(ctx, id)
		})
	}
	wg.Wait()
	rec.logf("trouble over: the mistaken jobs are cancelled")
	over := time.Now()
	const job = "wk-000030"
	jobSpec, jobFields := mutabakat(job, "kontrolor-01", "img-02", 4, time.Second)
	if !d.users.submit(ctx, job, jobSpec, jobFields) {
		return failed, fmt.Errorf("%s was not accepted", job)
	}
	begun := waitUntil(ctx, time.Until(over.Add(waitingLimit)), func() bool { return starts.started(job) })
	if begun {
		waitUntil(ctx, 10*time.Second, func() bool { return d.users.stateOf(job) == "done" })
	}
	d.recordRoom()
	copyLogs(rec, d.nodes, "leadership", "quarantined", "job cancelled", "job accepted", "scheduling opened")
	if ctx.Err() != nil {
		return failed, errors.New("the run was ended early")
	}
	if !begun {
		rec.verdictf("BROKEN: %s was accepted and no task of it started within %v, while machines that fit had room", job, waitingLimit)
		return broken, nil
	}
	rec.verdictf("held: %s started, last state told: %s", job, d.users.stateOf(job))
	return held, nil
}

package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// gangSite returns the site of the kit's file change/anadolu-defter-next.toml with three controllers and, as
// its capacity, three machines of type orta in one zone, all up at the start.
func gangSite() *site {
	s := anadolu()
	s.up = map[string]int{offerKey("orta", "istanbul", false): 3}
	s.report = 5 * time.Second
	return s
}

// replicas returns a service of the site's class yevmiye with six tasks, not spread over zones.
func replicas(id string) (spec, map[string]any) {
	s, fields := yevmiye(id, "istanbul")
	s.entries = 6
	fields["entries"], fields["hall"] = s.entries, nil
	return s, fields
}

// gang returns a gang of the site's classes donemsonu and denetim, with a short run time.
func gang(id, class string, entries int) (spec, map[string]any) {
	s := spec{entries: entries, cpus: 2, memoryGB: 6.4, bundle: "img-07", imageGB: 1, gang: true, runTime: 2 * time.Second}
	return s, map[string]any{"id": id, "ledgerClass": class, "desk": "kontrolor-01", "shape": "group", "rank": "standard",
		"entries": s.entries, "cpus": s.cpus, "accelerators": 0.0, "memoryGb": s.memoryGB, "bundle": s.bundle, "imageGb": s.imageGB,
		"frames": nil, "hall": nil, "samePlace": true, "apart": false, "loaner": false, "expectedS": s.runTime.Seconds(),
		"folioS": 0.0, "bindS": 0.0, "dueS": nil}
}

// playGang plays the case in which a machine stops, so that a gang does not fit any more, and smaller work
// arrives after that gang.
func playGang(ctx context.Context, dir string, command []string, trouble bool, rec *recorder) (int, error) {
	const large, small, array = "wk-000010", "wk-000011", "wk-000012"
	starts := &startLog{first: map[string]time.Time{}}
	d, err := newDeployment(ctx, dir, command, gangSite(), rec, starts.observe)
	if err != nil {
		return failed, err
	}
	defer d.stopNodes()
	d.state.limited.Store(true)
	if err := d.startNodes(ctx); err != nil {
		return failed, err
	}
	for n := range 3 {
		id := fmt.Sprintf("wk-00000%d", n)
		service, fields := replicas(id)
		if !d.users.submit(ctx, id, service, fields) || !waitUntil(ctx, 15*time.Second, func() bool { return d.running(id) == service.entries }) {
			return failed, d.setUpFailed("the replicas of %s did not start", id)
		}
	}
	rec.logf("set-up complete")
	d.recordRoom()
	if trouble {
		m := d.emptiest()
		rec.logf("trouble: %s dies", m.id)
		d.cloud.kill(m)
	}
	// The leader returns the machine, and replaces the replicas that ran on it.
	sleep(ctx, 9*time.Second)
	for _, id := range []string{"wk-000000", "wk-000001", "wk-000002"} {
		if !waitUntil(ctx, 10*time.Second, func() bool { return d.running(id) == 6 }) {
			return failed, fmt.Errorf("%s lacks replicas", id)
		}
	}
	largeSpec, largeFields := gang(large, "denetim", 8)
	if !d.users.submit(ctx, large, largeSpec, largeFields) {
		return failed, fmt.Errorf("%s was not accepted", large)
	}
	sleep(ctx, time.Second)
	smallSpec, smallFields := gang(small, "donemsonu", 2)
	arraySpec, arrayFields := mutabakat(array, "kontrolor-02", "img-02", 2, 2*time.Second)
	if !d.users.submit(ctx, small, smallSpec, smallFields) || !d.users.submit(ctx, array, arraySpec, arrayFields) {
		return failed, errors.New("the small jobs were not accepted")
	}
	rec.logf("%s, which needs 16 CPUs, is accepted, and after it %s and %s, which need 4 each", large, small, array)
	d.recordRoom()
	begun := waitUntil(ctx, waitingLimit, func() bool { return starts.started(small) && starts.started(array) })
	d.recordRoom()
	copyLogs(rec, d.nodes, "leadership", "machine ", "deprovision", "job accepted", "scheduling opened", "provision request")
	if ctx.Err() != nil {
		return failed, errors.New("the run was ended early")
	}
	if !begun {
		rec.verdictf("BROKEN: within %v, started: %s %t, %s %t, while a machine that fits had room for both", waitingLimit,
			small, starts.started(small), array, starts.started(array))
		return broken, nil
	}
	rec.verdictf("held: %s and %s started", small, array)
	return held, nil
}

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// jobPrefix is the prefix of the keys of the job records.
const jobPrefix = jobs.KeyPrefix

// historyJobs is the number of jobs that were submitted before the run.
const historyJobs = 100_000

// otherServices is the number of services besides the one that is watched: the site has 43 at the start.
const otherServices = 42

// maktaba returns the site of the kit's file sites/maktaba-dijitali.toml.
func maktaba() *site {
	ndogo := &machineType{name: "ndogo", cpus: 16, memoryGB: 128, hourly: 0.84, spotPrice: 0.23, cacheGB: 80, fetchGBs: 0.12,
		boot: 25 * time.Second, zones: []string{"nairobi"}}
	kubwa := &machineType{name: "kubwa", cpus: 64, memoryGB: 256, hourly: 3.07, spotPrice: 0.89, cacheGB: 25, fetchGBs: 0.12,
		boot: 30 * time.Second, zones: []string{"mombasa", "nairobi"}}
	team := func(name string, cpus, most float64) map[string]any {
		return map[string]any{"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0}
	}
	return &site{
		nodeZones: []string{"mombasa", "nairobi", "mombasa"}, restart: 4 * time.Second, memoryMB: 234, cpu: 0.3, sockets: 2500,
		stateRPS: 80, writeRPS: 25, valueKB: 16, txnOps: 16, cloudRPS: 6, listLag: 8 * time.Second,
		report: 3 * time.Second, lease: 27 * time.Second, cancel: 57 * time.Second, gangWait: 50, gangPeer: 8, clockError: 25,
		zones: []string{"mombasa", "nairobi"},
		teams: []map[string]any{team("mzunguko", 152, 304), team("katalogi", 152, 448), team("msaada", 200, 304)},
		types: []*machineType{ndogo, kubwa},
		capacity: map[string]int{offerKey("ndogo", "nairobi", false): 1, offerKey("ndogo", "nairobi", true): 13,
			offerKey("kubwa", "mombasa", true): 1, offerKey("kubwa", "nairobi", false): 1, offerKey("kubwa", "nairobi", true): 1},
		up: map[string]int{offerKey("ndogo", "nairobi", false): 9, offerKey("kubwa", "mombasa", false): 1, offerKey("kubwa", "nairobi", false): 1},
	}
}

// orodha returns a job of the site's class of that name, with a short run time.
func orodha(id string, entries int, run time.Duration) (spec, map[string]any) {
	s := spec{entries: entries, cpus: 2, memoryGB: 5.1, bundle: "img-03", imageGB: 0.1, runTime: run}
	return s, map[string]any{"id": id, "ledgerClass": "orodha", "desk": "katalogi", "shape": "batch", "rank": "standard",
		"entries": entries, "cpus": s.cpus, "accelerators": 0.0, "memoryGb": s.memoryGB, "bundle": "img-03", "imageGb": s.imageGB,
		"frames": nil, "hall": nil, "samePlace": false, "apart": false, "loaner": true, "expectedS": run.Seconds(),
		"folioS": 0.0, "bindS": 0.0, "dueS": 3*run.Seconds() + 10}
}

// mkopo returns a service of the site's class of that name.
func mkopo(id string) (spec, map[string]any) {
	s := spec{entries: 1, cpus: 2, memoryGB: 3.7, bundle: "img-01", imageGB: 0.1, service: true}
	return s, map[string]any{"id": id, "ledgerClass": "mkopo", "desk": "mzunguko", "shape": "service", "rank": "prod",
		"entries": 1, "cpus": s.cpus, "accelerators": 0.0, "memoryGb": s.memoryGB, "bundle": "img-01", "imageGb": s.imageGB,
		"frames": nil, "hall": nil, "samePlace": false, "apart": true, "loaner": false, "expectedS": 0.0,
		"folioS": 0.0, "bindS": 0.0, "dueS": nil}
}

// endedRecord returns the record that the program keeps of a job of class orodha that is done.
func endedRecord() (msgpack.RawMessage, error) {
	record := &jobs.Record{
		SchemaVersion: 2, AcceptedAtMs: time.Now().Add(-24 * time.Hour).UnixMilli(), Phase: jobs.PhaseDone, Epoch: 4711, LastRound: 81234,
		Spec: jobs.Spec{Class: "orodha", Team: "katalogi", Priority: jobs.PriorityStandard, Tasks: 10, CPUs: 2, MemoryGB: 5.1, Spot: true,
			Image: "img-03", ImageGB: 0.9, EstimatedRunSeconds: 40.5, DeadlineSeconds: 131.5},
		Next: jobs.ActionNone,
	}
	for n := range record.Spec.Tasks {
		record.Done.Add(ident.TaskIndex(n))
	}
	stored, err := record.Encode()
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(stored)
}

// historySize returns the number of jobs that were submitted before the run.
func historySize() int {
	if n, err := strconv.Atoi(os.Getenv("HISTORY_JOBS")); err == nil {
		return n
	}
	return historyJobs
}

// startLog records when the first task of each job started.
type startLog struct {
	mu    sync.Mutex
	first map[string]time.Time
}

func (l *startLog) observe(_, task string, _ uint64, event string) {
	job, _, _ := strings.Cut(task, "/")
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.first[job]; event == "starts" && !known {
		l.first[job] = time.Now()
	}
}

func (l *startLog) started(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.first[job]
	return ok
}

// waitingLimit is how long a job may wait, once the troubles are over, while a machine has room.
const waitingLimit = 90 * time.Second

// playHistory plays the case in which a controller that leads ends after the deployment has served for
// some days.
func playHistory(ctx context.Context, dir string, command []string, trouble bool, rec *recorder) (int, error) {
	s := maktaba()
	starts := &startLog{first: map[string]time.Time{}}
	d, err := newDeployment(ctx, dir, command, s, rec, starts.observe)
	if err != nil {
		return failed, err
	}
	defer d.stopNodes()
	ended, err := endedRecord()
	if err != nil {
		return failed, err
	}
	keys := make([]string, historySize())
	for n := range keys {
		keys[n] = fmt.Sprintf("%swk-%06d", jobPrefix, n)
	}
	d.store.preload(keys, func(int) msgpack.RawMessage { return ended })
	rec.logf("state: holds the records of %d jobs that are done, %d bytes of JSON each", len(keys), jsonSize(ended))

	// The rate limits apply from the end of the set-up: the first leader stands for one that has led since
	// there were few jobs.
	if err := d.startNodes(ctx); err != nil {
		return failed, err
	}
	spec0, fields0 := orodha("wk-900000", 4, 2*time.Second)
	if !d.users.submit(ctx, "wk-900000", spec0, fields0) {
		return failed, d.setUpFailed("the first job was not accepted")
	}
	service, serviceFields := mkopo("wk-900001")
	if !d.users.submit(ctx, "wk-900001", service, serviceFields) {
		return failed, d.setUpFailed("the service was not accepted")
	}
	for n := range otherServices {
		id := fmt.Sprintf("wk-91%04d", n)
		other, otherFields := mkopo(id)
		go d.users.submit(ctx, id, other, otherFields)
	}
	ready := waitUntil(ctx, 20*time.Second, func() bool { return d.users.stateOf("wk-900000") == "done" && starts.started("wk-900001") })
	if !ready || d.leader() == nil {
		return failed, d.setUpFailed("the first job was not done in time")
	}
	d.state.limited.Store(true)
	rec.logf("set-up complete; the state service's rate limits apply from now on")
	d.recordMemory()

	sleep(ctx, 2*time.Second)
	if trouble {
		leader := d.leader()
		rec.logf("trouble: %s, which leads, is killed", leader.name)
		leader.kill()
		time.AfterFunc(s.restart, func() {
			if ctx.Err() == nil {
				rec.logf("trouble over: %s is back", leader.name)
				if err := leader.start(); err != nil {
					rec.logf("restart failed: %v", err)
				}
			}
		})
	}
	const job = "wk-900002"
	jobSpec, jobFields := orodha(job, 4, 2*time.Second)
	over := time.Now().Add(s.restart)
	if !d.users.submit(ctx, job, jobSpec, jobFields) {
		return failed, fmt.Errorf("%s was not accepted", job)
	}
	// The user of the service cancels it in the meantime. This is recorded and not judged.
	time.AfterFunc(2*s.restart, func() {
		rec.logf("user: withdraw of wk-900001 answered within %v: %t", retryFor, d.users.withdraw(ctx, "wk-900001"))
	})
	begun := waitUntil(ctx, time.Until(over.Add(waitingLimit)), func() bool { return starts.started(job) })
	if begun {
		waitUntil(ctx, time.Until(over.Add(waitingLimit)), func() bool { return d.users.stateOf(job) == "done" })
	}
	d.recordMemory()
	d.recordRoom()
	copyLogs(rec, d.nodes, "leadership", "checkpoints read", "reading records failed", "scheduling opened", "job accepted")
	if ctx.Err() != nil {
		return failed, errors.New("the run was ended early")
	}
	if !begun {
		rec.verdictf("BROKEN: %s was accepted and no task of it started within %v after the trouble was over", job, waitingLimit)
		return broken, nil
	}
	rec.verdictf("held: %s started, last state told: %s", job, d.users.stateOf(job))
	return held, nil
}

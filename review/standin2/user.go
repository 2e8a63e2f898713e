package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	giveUpAfter   = 60 * time.Second
)

// submission is the body of a submission.
type submission struct {
	ID          string   `msgpack:"id"`
	Class       string   `msgpack:"ledgerClass"`
	Team        string   `msgpack:"desk"`
	Shape       string   `msgpack:"shape"`
	Rank        string   `msgpack:"rank"`
	Tasks       int      `msgpack:"entries"`
	CPUs        float64  `msgpack:"cpus"`
	GPUs        float64  `msgpack:"accelerators"`
	MemoryGB    float64  `msgpack:"memoryGb"`
	Types       []string `msgpack:"frames"`
	Zone        *string  `msgpack:"hall"`
	OneZone     bool     `msgpack:"samePlace"`
	Spread      bool     `msgpack:"apart"`
	Spot        bool     `msgpack:"loaner"`
	Image       string   `msgpack:"bundle"`
	ImageGB     float64  `msgpack:"imageGb"`
	ExpectedS   float64  `msgpack:"expectedS"`
	CheckpointS float64  `msgpack:"folioS"`
	SaveS       float64  `msgpack:"bindS"`
	DueS        *float64 `msgpack:"dueS"`
}

// statusAnswer is the body of an answer to a user.
type statusAnswer struct {
	ID      string `msgpack:"id"`
	State   string `msgpack:"standing"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

func request(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	status, data, _, err := requestWithHeader(method, url, body, timeout)
	return status, data, err
}

func requestWithHeader(method, url string, body []byte, timeout time.Duration) (int, []byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	return response.StatusCode, data, response.Header, err
}

// addJob makes a job known to the workers and the checks.
func (w *world) addJob(s submission, run time.Duration) *jobInfo {
	spec := jobs.Spec{Class: ident.Class(s.Class), Team: ident.Team(s.Team), Service: s.Shape == "service", Gang: s.Shape == "group", Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, ZoneAffinity: s.OneZone, ZoneSpread: s.Spread, Spot: s.Spot, Image: ident.Image(s.Image),
		ImageGB: s.ImageGB, CheckpointIntervalSeconds: s.CheckpointS, CheckpointSeconds: s.SaveS}
	for _, t := range s.Types {
		spec.MachineTypes = append(spec.MachineTypes, ident.MachineType(t))
	}
	if s.Zone != nil {
		spec.Zone = ident.Zone(*s.Zone)
	}
	j := &jobInfo{id: s.ID, spec: spec, run: run, done: map[ident.TaskIndex]bool{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[ident.JobID(s.ID)] = j
	return j
}

// send sends a request of a user to a controller, chosen as the load balancer does among those that accept connections.
func (w *world) send(ctx context.Context, method, path string, body []byte, timeout time.Duration, prefer int) (status int, answer statusAnswer, header http.Header, name string) {
	order := rand.Perm(len(w.nodes))
	if prefer >= 0 {
		order = []int{prefer}
	}
	for _, i := range order {
		n := w.nodes[i]
		switch n.userLink.current() {
		case linkHeld:
			sleep(ctx, timeout)
			return 0, answer, nil, n.label
		case linkReset, linkRefuse:
			continue
		}
		code, data, h, err := requestWithHeader(method, "http://"+n.clientAddr+path, body, timeout)
		if err != nil {
			if isRefused(err) {
				continue
			}
			return 0, answer, nil, n.label
		}
		if len(data) > 0 {
			msgpack.Unmarshal(data, &answer)
		}
		return code, answer, h, n.label
	}
	return 0, answer, nil, ""
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func retryPause(header http.Header) time.Duration {
	pause := time.Second
	if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		pause = max(pause, time.Duration(min(s, 30))*time.Second)
	}
	return pause
}

// submit submits a job, and retries as users do. It reports whether the job was accepted.
func (w *world) submit(ctx context.Context, j *jobInfo, s submission, prefer int) bool {
	body, err := msgpack.Marshal(s)
	if err != nil {
		panic(err)
	}
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < giveUpAfter {
		sent := time.Now()
		status, answer, header, name := w.send(ctx, http.MethodPost, "/submissions", body, submitTimeout, prefer)
		w.log.add("user: submit %s at %s: %d %s", s.ID, name, status, answer.State)
		w.answered(j, sent, status, answer)
		if status == 200 || status == 201 {
			w.mu.Lock()
			j.accepted = true
			w.mu.Unlock()
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		sleep(ctx, retryPause(header))
	}
	return false
}

// answered checks the rules on the answers to users. The answer is to a request that was sent at the given time.
func (w *world) answered(j *jobInfo, sent time.Time, status int, answer statusAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.accepted && (status == 404 || status == 400 || status == 422) {
		w.breach("forgotten", "job %s, which was accepted, is answered %d", j.id, status)
	}
	if status != 200 && status != 201 {
		return
	}
	if answer.ID != j.id {
		w.breach("foreign", "answer for job %s names %q", j.id, answer.ID)
	}
	if j.final != "" && answer.State != j.final && sent.After(j.finalAt) {
		w.breach("went_back", "job %s was called %s, and is called %s", j.id, j.final, answer.State)
	}
	switch answer.State {
	case "done":
		if len(j.done) < j.spec.Tasks {
			w.breach("not_done", "job %s is called done with %d of %d tasks done", j.id, len(j.done), j.spec.Tasks)
		}
	case "cancelled":
		if j.cancelAt.IsZero() {
			w.breach("went_back", "job %s is called cancelled, and its user did not cancel it", j.id)
		}
	default:
		return
	}
	if j.final == "" {
		j.final, j.finalAt = answer.State, time.Now()
	}
}

// poll asks for the state of a job once.
func (w *world) poll(ctx context.Context, j *jobInfo, prefer int) (int, statusAnswer) {
	sent := time.Now()
	status, answer, _, name := w.send(ctx, http.MethodGet, "/submissions/"+j.id, nil, pollTimeout, prefer)
	w.log.add("user: poll %s at %s: %d %s done=%d running=%d", j.id, name, status, answer.State, answer.Done, answer.Running)
	w.answered(j, sent, status, answer)
	return status, answer
}

// cancel cancels a job, and retries as users do. It returns the state in the answer, or "".
func (w *world) cancel(ctx context.Context, j *jobInfo, prefer int) string {
	w.mu.Lock()
	j.cancelAt = time.Now()
	w.mu.Unlock()
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < giveUpAfter {
		sent := time.Now()
		status, answer, header, name := w.send(ctx, http.MethodPost, "/submissions/"+j.id+"/withdraw", nil, submitTimeout, prefer)
		w.log.add("user: withdraw %s at %s: %d %s", j.id, name, status, answer.State)
		w.answered(j, sent, status, answer)
		if status == 200 {
			return answer.State
		}
		if status == 400 || status == 404 {
			return fmt.Sprint(status)
		}
		sleep(ctx, retryPause(header))
	}
	return ""
}

// follow polls a job until it has ended, and cancels it after cancelAfter unless that is 0.
func (w *world) follow(ctx context.Context, j *jobInfo, every, cancelAfter time.Duration) {
	started := time.Now()
	for ctx.Err() == nil {
		if cancelAfter > 0 && time.Since(started) > cancelAfter {
			w.cancel(ctx, j, -1)
			cancelAfter = 0
		}
		w.poll(ctx, j, -1)
		sleep(ctx, every)
	}
}

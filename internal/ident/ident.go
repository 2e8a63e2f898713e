// Package ident holds the identifiers and version numbers that all packages share. Each has a
// type of its own, so that an epoch cannot be mistaken for an attempt, nor a job for a task.
// Where they are stored and compared is up to the callers.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// JobID names a job. Users choose it; see ParseJobID for its form.
type JobID string

// TaskIndex numbers a task within its job, from 0.
type TaskIndex uint32

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID
	Index TaskIndex
}

// MachineID names a machine of the cloud. Names sort in order of creation.
type MachineID string

// Team names the team whose guarantee and limit a job counts against.
type Team string

// Zone names a zone.
type Zone string

// MachineType names a kind of machine that the cloud rents.
type MachineType string

// Image names the bundle a task needs on its machine.
type Image string

// Class names the class of jobs that an objective speaks of.
type Class string

// Epoch is the stamp of the leader key: the fencing token of the leader and
// the token of the workers.
type Epoch uint64

// Revision is the stamp of a key of the state service; 0 means absent.
type Revision uint64

// Attempt numbers the launches of a task. It is the number of the round that
// decided the launch, so it rises for ever.
type Attempt uint64

// RoundNo numbers rounds; it never repeats.
type RoundNo uint64

// Session numbers the sessions of a worker.
type Session uint64

// HeartbeatSeq orders the messages of one worker within a session.
type HeartbeatSeq uint64

// LeaseID is the id of a lease at the state service.
type LeaseID uint64

const jobIDPrefix = "wk-"

// ParseJobID checks the form of a job id: "wk-" and 6 to 12 digits.
func ParseJobID(s string) (JobID, error) {
	digits, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || len(digits) < 6 || len(digits) > 12 || !allDigits(digits) {
		return "", fmt.Errorf("job id %.32q is not %s and digits", s, jobIDPrefix)
	}
	return JobID(s), nil
}

// String renders a task as its workers know it, such as wk-000412/3.
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// ParseTaskID reads what String writes.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "/")
	if !ok || len(index) > 9 || !allDigits(index) {
		return TaskID{}, fmt.Errorf("task id %.48q has no task number", s)
	}
	id, err := ParseJobID(job)
	if err != nil {
		return TaskID{}, err
	}
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id %.48q: %w", s, err)
	}
	return TaskID{Job: id, Index: TaskIndex(n)}, nil
}

func allDigits(s string) bool {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != ""
}

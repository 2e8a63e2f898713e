// Package ident defines the identifiers and version numbers that all packages share. Each has a
// type of its own, so that an epoch cannot be mistaken for an attempt, nor a job for a task.
// The package defines their text forms; callers create and store them.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// JobID identifies a job. Users choose it; see ParseJobID for its form.
type JobID string

// TaskIndex numbers a task within its job, from 0.
type TaskIndex uint32

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID
	Index TaskIndex
}

// MachineID identifies a machine of the cloud. IDs sort in order of creation.
type MachineID string

// Team names the team whose quota a job is counted against.
type Team string

// Zone names a zone of the cloud.
type Zone string

// MachineType names a kind of machine that the cloud provisions.
type MachineType string

// Image names the image that a task needs, which is fetched to its machine.
type Image string

// Class names a class of jobs with a service-level objective of its own.
type Class string

// Epoch is the revision of the leader key. It is the fencing token of the leader's writes and of
// its commands to workers; 0 means no leader.
type Epoch uint64

// Revision numbers the changes of the state service. The revision of a key is that of its last
// change; 0 means that the key does not exist.
type Revision uint64

// Attempt identifies one attempt to run a task. It is the number of the scheduling round that placed
// the task, so a later attempt has a higher number. A replacement for a lost task of a waiting gang
// keeps the attempt of that gang.
type Attempt uint64

// RoundNo numbers scheduling rounds; it never repeats.
type RoundNo uint64

// Session numbers the incarnations of a machine's worker.
type Session uint64

// HeartbeatSeq orders the messages of one worker within a session.
type HeartbeatSeq uint64

// LeaseID identifies a lease of the state service.
type LeaseID uint64

const (
	jobIDPrefix        = "wk-"
	minJobIDDigits     = 6
	maxJobIDDigits     = 12
	maxTaskIndexDigits = 9
)

// ParseJobID parses a job ID, which is "wk-" followed by 6 to 12 digits.
func ParseJobID(s string) (JobID, error) {
	digits, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || len(digits) < minJobIDDigits || len(digits) > maxJobIDDigits || !allDigits(digits) {
		return "", fmt.Errorf("job id %.32q is not %s and digits", s, jobIDPrefix)
	}
	return JobID(s), nil
}

// String returns the ID in the form that messages to workers use, such as wk-000412/3.
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "/")
	if !ok || len(index) > maxTaskIndexDigits || !allDigits(index) {
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

// allDigits reports whether s consists of one or more decimal digits.
func allDigits(s string) bool {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != ""
}

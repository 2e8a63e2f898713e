// Package ident holds the identifiers and version numbers that all packages share. Each has a
// type of its own, so that an epoch cannot be mistaken for an attempt, nor a job for a task.
// It owns their text forms; where they come from and are stored is left to the callers.
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

// Team names the team against whose quota a job counts.
type Team string

// Zone names a zone of the cloud.
type Zone string

// MachineType names a kind of machine that the cloud provisions.
type MachineType string

// Image names what a task needs to be fetched to its machine.
type Image string

// Class names a class of jobs with a service-level objective of its own.
type Class string

// Epoch is the revision of the leader key: the fencing token of the leader's writes and of its
// commands to workers; 0 means no leader.
type Epoch uint64

// Revision counts the changes of the state service. That of a key is the revision that last
// changed it; 0 means that it does not exist.
type Revision uint64

// Attempt numbers the starts of a task. It is the number of the round that decided the start,
// so it always increases.
type Attempt uint64

// RoundNo numbers scheduling rounds; it never repeats.
type RoundNo uint64

// Session numbers the runs of a machine's worker process.
type Session uint64

// HeartbeatSeq orders the messages of one worker within a session.
type HeartbeatSeq uint64

// LeaseID names a lease of the state service.
type LeaseID uint64

const (
	jobIDPrefix      = "wk-"
	minJobIDDigits   = 6
	maxJobIDDigits   = 12
	maxTaskNumDigits = 9
)

// ParseJobID reads a job id, which is "wk-" and 6 to 12 digits.
func ParseJobID(s string) (JobID, error) {
	digits, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || len(digits) < minJobIDDigits || len(digits) > maxJobIDDigits || !allDigits(digits) {
		return "", fmt.Errorf("job id %.32q is not %s and digits", s, jobIDPrefix)
	}
	return JobID(s), nil
}

// String returns the id as workers know it, such as wk-000412/3.
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// ParseTaskID reads what String writes.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "/")
	if !ok || len(index) > maxTaskNumDigits || !allDigits(index) {
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

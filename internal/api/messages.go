package api

import (
	"time"

	"badgerbay/internal/jobs"
)

// RequestKind is the operation that a user requests.
type RequestKind int

// The request kinds.
const (
	Submit RequestKind = iota
	QueryStatus
	Cancel
)

// Input is an event that Request.Step handles: one of the types below.
type Input interface{ input() }

type (
	// Begin starts the request.
	Begin struct{}
	// RecordCreated is the outcome of CreateRecord.
	RecordCreated struct{ Result CreateResult }
	// RecordLoaded is the outcome of LoadRecord. OK is false if the read failed. If OK
	// is true, a nil Record means that the job was never accepted.
	RecordLoaded struct {
		OK     bool
		Record *jobs.Record
	}
	// LeaderReplied is the outcome of QueryLeader. Status is set only if Outcome is
	// JobFound.
	LeaderReplied struct {
		Outcome QueryOutcome
		Status  Status
	}
)

func (Begin) input()         {}
func (RecordCreated) input() {}
func (RecordLoaded) input()  {}
func (LeaderReplied) input() {}

// CreateResult is the outcome of the transaction that creates a job's record.
type CreateResult int

const (
	// Stored means that the record was created.
	Stored CreateResult = iota
	// AlreadyExists means that a record with this ID existed before.
	AlreadyExists
	// Rejected means that nothing was stored, because the write budget was exhausted
	// or the state service rejected the transaction.
	Rejected
	// Indeterminate means that the reply was lost: the transaction may have been
	// executed, or may still be executed later.
	Indeterminate
)

// QueryOutcome is the outcome of a status query or a cancel request to the leader.
type QueryOutcome int

const (
	// JobFound means that the reply contains the job's status.
	JobFound QueryOutcome = iota
	// JobNotFound means that the leader does not know the job. The job's record in the
	// state service decides whether the job exists.
	JobNotFound
	// NoLeader means that no leader could be reached. The request had no effect.
	NoLeader
	// LeaderBusy means that the leader did not process the request, which had no effect.
	LeaderBusy
)

// Action is the next step that the server must perform for a request: one of the types
// below.
type Action interface{ action() }

type (
	// CreateRecord stores the job's record if no record with its ID exists. The
	// server passes the outcome to Request.Step as RecordCreated.
	CreateRecord struct{ Record *jobs.Record }
	// LoadRecord reads the job's record. The server passes the outcome to Request.Step
	// as RecordLoaded.
	LoadRecord struct{}
	// QueryLeader sends a status query or, if Cancel is set, a cancel request to the
	// leader. The server passes the outcome to Request.Step as LeaderReplied.
	QueryLeader struct{ Cancel bool }
	// Response completes the request. Code is an HTTP status code; Status is sent with
	// codes 200 and 201. RetryAfter is zero unless the user should retry.
	Response struct {
		Code       int
		Status     Status
		RetryAfter time.Duration
	}
)

func (CreateRecord) action() {}
func (LoadRecord) action()   {}
func (QueryLeader) action()  {}
func (Response) action()     {}

package api

import (
	"time"

	"badgerbay/internal/jobs"
)

// RequestKind tells what a user asks for.
type RequestKind int

// The kinds of requests.
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
	// RecordLoaded is the outcome of LoadRecord. OK is false if the record could not
	// be read. Record is nil if the job was never accepted.
	RecordLoaded struct {
		OK     bool
		Record *jobs.Record
	}
	// LeaderReplied is the outcome of QueryLeader. Status is set for JobFound.
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
	// Stored says that the record was created.
	Stored CreateResult = iota
	// AlreadyExists says that a record with this ID was there before.
	AlreadyExists
	// Rejected says that nothing was stored: the write budget was exhausted, or the
	// key-value store refused.
	Rejected
	// Indeterminate says that the reply was lost: the transaction may have been
	// executed, or may still be.
	Indeterminate
)

// QueryOutcome is how the leader answered a status query or a cancel request.
type QueryOutcome int

const (
	// JobFound says that the reply holds the job's status.
	JobFound QueryOutcome = iota
	// JobNotFound says that the leader does not know the job. The record decides.
	JobNotFound
	// NoLeader says that no leader could be asked. Nothing was done.
	NoLeader
	// LeaderBusy says that the leader did not get to the request. Nothing was done.
	LeaderBusy
)

// Action is what the server must do next for a request: one of the types below.
type Action interface{ action() }

type (
	// CreateRecord stores the job's record if no record with its ID exists. The
	// server continues with RecordCreated.
	CreateRecord struct{ Record *jobs.Record }
	// LoadRecord reads the job's record. The server continues with RecordLoaded.
	LoadRecord struct{}
	// QueryLeader sends a status query or a cancel request to the leader. The server
	// continues with LeaderReplied.
	QueryLeader struct{ Cancel bool }
	// Response ends the request. Code is an HTTP status code; Status is sent with 200
	// and 201. RetryAfter is zero unless the user should try again.
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

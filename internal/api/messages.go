package api

import (
	"time"

	"badgerbay/internal/jobs"
)

// RequestKind of a request.
type RequestKind int

// Kinds.
const (
	Submit RequestKind = iota
	QueryStatus
	Cancel
)

// Input is what a request takes: one of the types below.
type Input interface{ input() }

// Inputs.
type (
	// Begin starts the request.
	Begin struct{}
	// RecordCreated answers Create.
	RecordCreated struct{ Result CreateResult }
	// RecordLoaded answers Load. Record is nil if the job was never accepted.
	RecordLoaded struct {
		OK     bool
		Record *jobs.Record
	}
	// LeaderReplied answers AskLeader.
	LeaderReplied struct {
		Outcome QueryOutcome
		Status  Status
	}
)

func (Begin) input()         {}
func (RecordCreated) input() {}
func (RecordLoaded) input()  {}
func (LeaderReplied) input() {}

// CreateResult is what became of the attempt to store a job.
type CreateResult int

// Results. Uncertain: it may have been stored, or may be later. Refused: it
// was not, for want of budget or of the state service.
const (
	Stored CreateResult = iota
	AlreadyExists
	Rejected
	Indeterminate
)

// QueryOutcome of asking the leader.
type QueryOutcome int

// Outcomes. Nothing was done in the last two.
const (
	JobFound QueryOutcome = iota
	JobNotFound
	NoLeader
	LeaderBusy
)

// Action is what a request asks its server to do next.
type Action interface{ action() }

// Actions.
type (
	// CreateRecord stores the job if it does not exist.
	CreateRecord struct{ Record *jobs.Record }
	// LoadRecord reads the job's record.
	LoadRecord struct{}
	// QueryLeader polls or cancels the job at the leader.
	QueryLeader struct{ Cancel bool }
	// Response ends the request.
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

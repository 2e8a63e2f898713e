package userapi

import (
	"time"

	"badgerbay/internal/checkpoint"
)

// Kind of a request.
type Kind int

// Kinds.
const (
	Submit Kind = iota
	Poll
	Cancel
)

// Input is what a request takes: one of the types below.
type Input interface{ input() }

// Inputs.
type (
	// Begin starts the request.
	Begin struct{}
	// Created answers Create.
	Created struct{ Result CreateResult }
	// Loaded answers Load. Record is nil if the job was never accepted.
	Loaded struct {
		OK     bool
		Record *checkpoint.Record
	}
	// Told answers AskLeader.
	Told struct {
		Outcome Outcome
		Status  Status
	}
)

func (Begin) input()   {}
func (Created) input() {}
func (Loaded) input()  {}
func (Told) input()    {}

// CreateResult is what became of the attempt to store a job.
type CreateResult int

// Results. Uncertain: it may have been stored, or may be later. Refused: it
// was not, for want of budget or of the state service.
const (
	Stored CreateResult = iota
	Exists
	Refused
	Uncertain
)

// Outcome of asking the leader.
type Outcome int

// Outcomes. Nothing was done in the last two.
const (
	Known Outcome = iota
	Absent
	NoLeader
	Busy
)

// Action is what a request asks its server to do next.
type Action interface{ action() }

// Actions.
type (
	// Create stores the job if it does not exist.
	Create struct{ Record *checkpoint.Record }
	// Load reads the job's record.
	Load struct{}
	// AskLeader polls or cancels the job at the leader.
	AskLeader struct{ Cancel bool }
	// Answer ends the request.
	Answer struct {
		Code       int
		Status     Status
		RetryAfter time.Duration
	}
)

func (Create) action()    {}
func (Load) action()      {}
func (AskLeader) action() {}
func (Answer) action()    {}

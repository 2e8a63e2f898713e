// Package controller composes the slices into one node. Core is the state
// machine of a node: inputs go in, effects come out, and nothing else happens
// in it. Node runs it as an actor and carries the effects out.
package controller

import (
	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/leadership"
	"badgerbay/internal/quota"
	"badgerbay/internal/rental"
	"badgerbay/internal/rollout"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// Ticket tells whom to answer; the core only hands it back.
type Ticket any

// Input is what the core takes.
type Input interface{ input() }

// Inputs.
type (
	// Tick lets time pass.
	Tick struct{}
	// ElectionInput carries an input of the leadership machine.
	ElectionInput struct{ Input leadership.Input }
	// RecordsRead answers LoadAll.
	RecordsRead struct {
		Epoch  unit.Epoch
		OK     bool
		Stored takeover.StoredRecords
		// KnownMachines are those that this node has listed as a standby.
		KnownMachines MachineSnapshot
	}
	// JobRecordRead answers ReadJob.
	JobRecordRead struct {
		Job  unit.JobID
		OK   bool
		Item statestore.KeyValue
		// Chunks are those of the record, read in one go with it.
		Chunks map[int][]byte
	}
	// TransactionCompleted answers Commit.
	TransactionCompleted struct {
		Kind             TransactionKind
		Epoch            unit.Epoch
		Outcome          leadership.Outcome
		Revision         unit.Revision
		FailedConditions []string
		// ExceedsNextLimits: it was refused, and is beyond the limits to come.
		ExceedsNextLimits bool
	}
	// HeartbeatReceived is a worker's report.
	HeartbeatReceived struct {
		Ticket    Ticket
		Heartbeat *fleet.Heartbeat
		RelayedBy string // the node that relays it, if one does
	}
	// CommandsAcknowledged answers Do. Report is nil if nothing was answered.
	CommandsAcknowledged struct {
		Machine   unit.MachineID
		Epoch     unit.Epoch
		Heartbeat *fleet.Heartbeat
	}
	// JobRequest is a poll or a cancellation.
	JobRequest struct {
		Ticket Ticket
		Job    unit.JobID
		Cancel bool
	}
	// JobChanged says that a job was stored, or has changed.
	JobChanged struct {
		Job         unit.JobID
		ModRevision unit.Revision
	}
	// ProvisionCompleted answers CallHire.
	ProvisionCompleted struct {
		Name     string
		Offer    rental.Offer
		SentAt   unit.Instant
		Result   rental.ProvisionResult
		Machines []unit.MachineID
	}
	// DeprovisionCompleted answers CallRelease.
	DeprovisionCompleted struct {
		Machines []unit.MachineID
		OK       bool
	}
	// MachinesListed answers CallList.
	MachinesListed struct{ Page rental.Page }
	// DelegationRequest is another node that asks for a grant, and for what this one has
	// done by its own.
	DelegationRequest struct {
		Ticket Ticket
		Node   string
	}
	// PeerStatusReceived is what another node has answered to that, asked at Sent.
	PeerStatusReceived struct {
		Node           string
		SentAt         unit.Instant
		Status         delegation.Status
		SchemaVersion  rollout.Version // what that node can; 0: it does not say
		EnforcesQuotas bool            // as leader it keeps to allotments
	}
	// QuotaRecordsRead answers ReadQuota.
	QuotaRecordsRead struct {
		Epoch unit.Epoch
		OK    bool
		Items []statestore.KeyValue
	}
	// QuotaRequest is a holder's ask.
	QuotaRequest struct {
		Ticket  Ticket
		Request quota.AllocationRequest
	}
	// QuotaStatusRequest is an operator who asks for the teams' quotas.
	QuotaStatusRequest struct{ Ticket Ticket }
	// IsolationChanged says what this node is cut off from.
	IsolationChanged struct{ Isolation delegation.Isolation }
	// PeerReachabilityChanged says whether some other node is out of reach over the mesh.
	PeerReachabilityChanged struct{ Unreachable bool }
	// MachineTypesRead answers CallFlavors.
	MachineTypesRead struct{ Types []*fleet.MachineType }
)

func (Tick) input()                    {}
func (ElectionInput) input()           {}
func (RecordsRead) input()             {}
func (JobRecordRead) input()           {}
func (TransactionCompleted) input()    {}
func (HeartbeatReceived) input()       {}
func (CommandsAcknowledged) input()    {}
func (JobRequest) input()              {}
func (JobChanged) input()              {}
func (ProvisionCompleted) input()      {}
func (DeprovisionCompleted) input()    {}
func (MachinesListed) input()          {}
func (DelegationRequest) input()       {}
func (PeerStatusReceived) input()      {}
func (QuotaRecordsRead) input()        {}
func (QuotaRequest) input()            {}
func (QuotaStatusRequest) input()      {}
func (IsolationChanged) input()        {}
func (PeerReachabilityChanged) input() {}
func (MachineTypesRead) input()        {}

// MachineSnapshot is a list of machines that was read before this node led: a hint of
// whom to ask.
type MachineSnapshot struct {
	RequestedAt unit.Instant // when its first page was asked for
	Machines    []rental.Machine
}

// TransactionKind tells the leader's transactions apart; one of each is under way
// at a time.
type TransactionKind int

// Kinds.
const (
	RoundTransaction TransactionKind = iota
	FoldTransaction
	SchemaVersionTransaction
	StagingTransaction
	QuotaTransaction
)

// Effect is what the core asks for.
type Effect interface{ effect() }

// Effects.
type (
	// ElectionEffect carries an effect of the leadership machine.
	ElectionEffect struct{ Effect leadership.Effect }
	// ReadRecords reads all job and round records.
	ReadRecords struct{ Epoch unit.Epoch }
	// ReadJobRecord reads one job record.
	ReadJobRecord struct{ Job unit.JobID }
	// CommitTransaction applies a transaction of the leader.
	CommitTransaction struct {
		Kind  TransactionKind
		Epoch unit.Epoch
		Txn   statestore.Txn
	}
	// SendCommands sends a direct command.
	SendCommands struct {
		Machine  unit.MachineID
		Addr     string
		Epoch    unit.Epoch
		Session  unit.Session
		Commands []fleet.Command
	}
	// HeartbeatReply answers a report. With code 200 it must leave before Until.
	HeartbeatReply struct {
		Ticket     Ticket
		Code       int
		Epoch      unit.Epoch
		Commands   []fleet.Command
		Leader     string
		ValidUntil unit.Instant
		// Relayed: another node has checked that it may be given.
		Relayed bool
		// Final: no other node is to be asked.
		Final bool
	}
	// DelegationReply answers PeerAsked.
	DelegationReply struct {
		Ticket Ticket
		Status delegation.Status
	}
	// ReadQuotaRecords reads all records of quotas.
	ReadQuotaRecords struct{ Epoch unit.Epoch }
	// QuotaReply answers QuotaAsked, and ReplyQuotas QuotaShown.
	QuotaReply struct {
		Ticket Ticket
		Answer quota.AllocationResponse
	}
	QuotaStatusReply struct {
		Ticket Ticket
		Teams  map[unit.Team]quota.TeamStatus
	}
	// JobReply answers a poll or a cancellation; Known must leave before Until.
	JobReply struct {
		Ticket     Ticket
		Outcome    userapi.QueryOutcome
		Status     userapi.Status
		ValidUntil unit.Instant
	}
	// ProvisionMachines rents machines.
	ProvisionMachines struct {
		Name  string
		Offer rental.Offer
		Count int
	}
	// DeprovisionMachines returns machines.
	DeprovisionMachines struct{ Machines []unit.MachineID }
	// ListMachines reads the page of the machine list that begins after Since.
	ListMachines struct{ After unit.MachineID }
	// ReadMachineTypes reads the machine types.
	ReadMachineTypes struct{}
	// StopNode ends the node: it can't go on.
	StopNode struct{ Err error }
)

func (ElectionEffect) effect()      {}
func (ReadRecords) effect()         {}
func (ReadJobRecord) effect()       {}
func (CommitTransaction) effect()   {}
func (SendCommands) effect()        {}
func (HeartbeatReply) effect()      {}
func (DelegationReply) effect()     {}
func (ReadQuotaRecords) effect()    {}
func (QuotaReply) effect()          {}
func (QuotaStatusReply) effect()    {}
func (JobReply) effect()            {}
func (ProvisionMachines) effect()   {}
func (DeprovisionMachines) effect() {}
func (ListMachines) effect()        {}
func (ReadMachineTypes) effect()    {}
func (StopNode) effect()            {}

// Package controller composes the slices into one node. Core is the state
// machine of a node: inputs go in, effects come out, and nothing else happens
// in it. Node runs it as an actor and carries the effects out.
package controller

import (
	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/quota"
	"badgerbay/internal/recovery"
	"badgerbay/internal/schemaversion"
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
	ElectionInput struct{ Input election.Input }
	// RecordsRead answers LoadAll.
	RecordsRead struct {
		Epoch  ident.Epoch
		OK     bool
		Stored recovery.StoredRecords
		// KnownMachines are those that this node has listed as a standby.
		KnownMachines MachineSnapshot
	}
	// JobRecordRead answers ReadJob.
	JobRecordRead struct {
		Job  ident.JobID
		OK   bool
		Item kvstore.KeyValue
		// Chunks are those of the record, read in one go with it.
		Chunks map[int][]byte
	}
	// TransactionCompleted answers Commit.
	TransactionCompleted struct {
		Kind             TransactionKind
		Epoch            ident.Epoch
		Outcome          election.Outcome
		Revision         ident.Revision
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
		Machine   ident.MachineID
		Epoch     ident.Epoch
		Heartbeat *fleet.Heartbeat
	}
	// JobRequest is a poll or a cancellation.
	JobRequest struct {
		Ticket Ticket
		Job    ident.JobID
		Cancel bool
	}
	// JobChanged says that a job was stored, or has changed.
	JobChanged struct {
		Job         ident.JobID
		ModRevision ident.Revision
	}
	// ProvisionCompleted answers CallHire.
	ProvisionCompleted struct {
		Name     string
		Offer    cloud.Offer
		SentAt   clock.Instant
		Result   cloud.ProvisionResult
		Machines []ident.MachineID
	}
	// DeprovisionCompleted answers CallRelease.
	DeprovisionCompleted struct {
		Machines []ident.MachineID
		OK       bool
	}
	// MachinesListed answers CallList.
	MachinesListed struct{ Page cloud.Page }
	// DelegationRequest is another node that asks for a grant, and for what this one has
	// done by its own.
	DelegationRequest struct {
		Ticket Ticket
		Node   string
	}
	// PeerStatusReceived is what another node has answered to that, asked at Sent.
	PeerStatusReceived struct {
		Node           string
		SentAt         clock.Instant
		Status         leasedelegation.Status
		SchemaVersion  schemaversion.Version // what that node can; 0: it does not say
		EnforcesQuotas bool                  // as leader it keeps to allotments
	}
	// QuotaRecordsRead answers ReadQuota.
	QuotaRecordsRead struct {
		Epoch ident.Epoch
		OK    bool
		Items []kvstore.KeyValue
	}
	// QuotaRequest is a holder's ask.
	QuotaRequest struct {
		Ticket  Ticket
		Request quota.AllocationRequest
	}
	// QuotaStatusRequest is an operator who asks for the teams' quotas.
	QuotaStatusRequest struct{ Ticket Ticket }
	// IsolationChanged says what this node is cut off from.
	IsolationChanged struct{ Isolation leasedelegation.Isolation }
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
	RequestedAt clock.Instant // when its first page was asked for
	Machines    []cloud.Machine
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
	ElectionEffect struct{ Effect election.Effect }
	// ReadRecords reads all job and round records.
	ReadRecords struct{ Epoch ident.Epoch }
	// ReadJobRecord reads one job record.
	ReadJobRecord struct{ Job ident.JobID }
	// CommitTransaction applies a transaction of the leader.
	CommitTransaction struct {
		Kind  TransactionKind
		Epoch ident.Epoch
		Txn   kvstore.Txn
	}
	// SendCommands sends a direct command.
	SendCommands struct {
		Machine  ident.MachineID
		Addr     string
		Epoch    ident.Epoch
		Session  ident.Session
		Commands []fleet.Command
	}
	// HeartbeatReply answers a report. With code 200 it must leave before Until.
	HeartbeatReply struct {
		Ticket     Ticket
		Code       int
		Epoch      ident.Epoch
		Commands   []fleet.Command
		Leader     string
		ValidUntil clock.Instant
		// Relayed: another node has checked that it may be given.
		Relayed bool
		// Final: no other node is to be asked.
		Final bool
	}
	// DelegationReply answers PeerAsked.
	DelegationReply struct {
		Ticket Ticket
		Status leasedelegation.Status
	}
	// ReadQuotaRecords reads all records of quotas.
	ReadQuotaRecords struct{ Epoch ident.Epoch }
	// QuotaReply answers QuotaAsked, and ReplyQuotas QuotaShown.
	QuotaReply struct {
		Ticket Ticket
		Answer quota.AllocationResponse
	}
	QuotaStatusReply struct {
		Ticket Ticket
		Teams  map[ident.Team]quota.TeamStatus
	}
	// JobReply answers a poll or a cancellation; Known must leave before Until.
	JobReply struct {
		Ticket     Ticket
		Outcome    api.QueryOutcome
		Status     api.Status
		ValidUntil clock.Instant
	}
	// ProvisionMachines rents machines.
	ProvisionMachines struct {
		Name  string
		Offer cloud.Offer
		Count int
	}
	// DeprovisionMachines returns machines.
	DeprovisionMachines struct{ Machines []ident.MachineID }
	// ListMachines reads the page of the machine list that begins after Since.
	ListMachines struct{ After ident.MachineID }
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

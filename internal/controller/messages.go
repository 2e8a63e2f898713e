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
	// Lead carries an input of the leadership machine.
	Lead struct{ In leadership.Input }
	// Loaded answers LoadAll.
	Loaded struct {
		Epoch  unit.Epoch
		OK     bool
		Stored takeover.StoredRecords
		// Machines are those that this node has listed as a standby.
		Machines KnownMachines
	}
	// JobRead answers ReadJob.
	JobRead struct {
		Job  unit.JobID
		OK   bool
		Item statestore.KeyValue
		// Parts are those of the record, read in one go with it.
		Parts map[int][]byte
	}
	// Committed answers Commit.
	Committed struct {
		Kind    CommitKind
		Epoch   unit.Epoch
		Outcome leadership.Outcome
		Version unit.Revision
		Failed  []string
		// TooLarge: it was refused, and is beyond the limits to come.
		TooLarge bool
	}
	// Reported is a worker's report.
	Reported struct {
		Ticket Ticket
		Report *fleet.Heartbeat
		Via    string // the node that relays it, if one does
	}
	// DoDone answers Do. Report is nil if nothing was answered.
	DoDone struct {
		Machine unit.MachineID
		Epoch   unit.Epoch
		Report  *fleet.Heartbeat
	}
	// Asked is a poll or a cancellation.
	Asked struct {
		Ticket Ticket
		Job    unit.JobID
		Cancel bool
	}
	// Noticed says that a job was stored, or has changed.
	Noticed struct {
		Job   unit.JobID
		Stamp unit.Revision
	}
	// HireDone answers CallHire.
	HireDone struct {
		Name     string
		Offer    rental.Offer
		Sent     unit.Instant
		Verdict  rental.ProvisionResult
		Machines []unit.MachineID
	}
	// ReleaseDone answers CallRelease.
	ReleaseDone struct {
		Machines []unit.MachineID
		OK       bool
	}
	// ListDone answers CallList.
	ListDone struct{ Page rental.Page }
	// PeerAsked is another node that asks for a grant, and for what this one has
	// done by its own.
	PeerAsked struct {
		Ticket Ticket
		Node   string
	}
	// PeerStatus is what another node has answered to that, asked at Sent.
	PeerStatus struct {
		Node   string
		Sent   unit.Instant
		Status delegation.Status
		Form   rollout.Version // what that node can; 0: it does not say
		Quotas bool            // as leader it keeps to allotments
	}
	// QuotaRead answers ReadQuota.
	QuotaRead struct {
		Epoch unit.Epoch
		OK    bool
		Items []statestore.KeyValue
	}
	// QuotaAsked is a holder's ask.
	QuotaAsked struct {
		Ticket Ticket
		Ask    quota.AllocationRequest
	}
	// QuotaShown is an operator who asks for the teams' quotas.
	QuotaShown struct{ Ticket Ticket }
	// Isolated says what this node is cut off from.
	Isolated struct{ From delegation.Isolation }
	// MeshCut says whether some other node is out of reach over the mesh.
	MeshCut struct{ On bool }
	// FlavorsDone answers CallFlavors.
	FlavorsDone struct{ Types []*fleet.MachineType }
)

func (Tick) input()        {}
func (Lead) input()        {}
func (Loaded) input()      {}
func (JobRead) input()     {}
func (Committed) input()   {}
func (Reported) input()    {}
func (DoDone) input()      {}
func (Asked) input()       {}
func (Noticed) input()     {}
func (HireDone) input()    {}
func (ReleaseDone) input() {}
func (ListDone) input()    {}
func (PeerAsked) input()   {}
func (PeerStatus) input()  {}
func (QuotaRead) input()   {}
func (QuotaAsked) input()  {}
func (QuotaShown) input()  {}
func (Isolated) input()    {}
func (MeshCut) input()     {}
func (FlavorsDone) input() {}

// KnownMachines is a list of machines that was read before this node led: a hint of
// whom to ask.
type KnownMachines struct {
	At   unit.Instant // when its first page was asked for
	List []rental.Machine
}

// CommitKind tells the leader's transactions apart; one of each is under way
// at a time.
type CommitKind int

// Kinds.
const (
	CommitRound CommitKind = iota
	CommitFold
	CommitForm
	CommitStage
	CommitQuota
)

// Effect is what the core asks for.
type Effect interface{ effect() }

// Effects.
type (
	// DoLead carries an effect of the leadership machine.
	DoLead struct{ Effect leadership.Effect }
	// LoadAll reads all job and round records.
	LoadAll struct{ Epoch unit.Epoch }
	// ReadJob reads one job record.
	ReadJob struct{ Job unit.JobID }
	// Commit applies a transaction of the leader.
	Commit struct {
		Kind  CommitKind
		Epoch unit.Epoch
		Txn   statestore.Txn
	}
	// Do sends a direct command.
	Do struct {
		Machine unit.MachineID
		Addr    string
		Epoch   unit.Epoch
		Session unit.Session
		Orders  []fleet.Command
	}
	// ReplyReport answers a report. With code 200 it must leave before Until.
	ReplyReport struct {
		Ticket Ticket
		Code   int
		Epoch  unit.Epoch
		Orders []fleet.Command
		Leader string
		Until  unit.Instant
		// Relayed: another node has checked that it may be given.
		Relayed bool
		// Final: no other node is to be asked.
		Final bool
	}
	// ReplyPeer answers PeerAsked.
	ReplyPeer struct {
		Ticket Ticket
		Status delegation.Status
	}
	// ReadQuota reads all records of quotas.
	ReadQuota struct{ Epoch unit.Epoch }
	// ReplyQuota answers QuotaAsked, and ReplyQuotas QuotaShown.
	ReplyQuota struct {
		Ticket Ticket
		Answer quota.AllocationResponse
	}
	ReplyQuotas struct {
		Ticket Ticket
		Teams  map[unit.Team]quota.TeamStatus
	}
	// ReplyAsk answers a poll or a cancellation; Known must leave before Until.
	ReplyAsk struct {
		Ticket  Ticket
		Outcome userapi.QueryOutcome
		Status  userapi.Status
		Until   unit.Instant
	}
	// CallHire rents machines.
	CallHire struct {
		Name  string
		Offer rental.Offer
		Count int
	}
	// CallRelease returns machines.
	CallRelease struct{ Machines []unit.MachineID }
	// CallList reads the page of the machine list that begins after Since.
	CallList struct{ Since unit.MachineID }
	// CallFlavors reads the machine types.
	CallFlavors struct{}
	// Stop ends the node: it can't go on.
	Stop struct{ Err error }
)

func (DoLead) effect()      {}
func (LoadAll) effect()     {}
func (ReadJob) effect()     {}
func (Commit) effect()      {}
func (Do) effect()          {}
func (ReplyReport) effect() {}
func (ReplyPeer) effect()   {}
func (ReadQuota) effect()   {}
func (ReplyQuota) effect()  {}
func (ReplyQuotas) effect() {}
func (ReplyAsk) effect()    {}
func (CallHire) effect()    {}
func (CallRelease) effect() {}
func (CallList) effect()    {}
func (CallFlavors) effect() {}
func (Stop) effect()        {}

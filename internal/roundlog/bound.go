package roundlog

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"

	"badgerbay/internal/chunk"
	"badgerbay/internal/config"
	"badgerbay/internal/jobs"
)

// longestMachineID stands for the names of machines that are not known yet.
const longestMachineID = ident.MachineID("machine-12345678")

// GangRecordsFit tells whether the records of a gang and of the round that starts it hold
// all its tasks, so many to a machine, in the values of one transaction. One that
// does not fit can never start whole; see docs/design.md for the bound.
func GangRecordsFit(s *jobs.Spec, perMachine, specSize int, limits config.State) bool {
	if perMachine <= 0 {
		return false
	}
	machines := (s.Tasks + perMachine - 1) / perMachine
	j := &jobs.Job{Spec: *s}
	checkpointRoom := j.SpareBytes(limits.MaxValueBytes(), limits.MaxTxnValues(), specSize)
	if jobs.SpareBytes(machines)*j.GroupBytes(longestMachineID, 0)+j.GroupBytes("", s.Tasks) > checkpointRoom {
		return false
	}
	widest := indexset.Set{{First: ident.TaskIndex(s.Tasks), Last: ident.TaskIndex(s.Tasks)}}
	start := Start{Machine: longestMachineID, Session: math.MaxInt32, Tasks: widest}
	// One value is left to what else the round starts: with it a gang might wait
	// for ever, if higher work came in each round.
	room := max(limits.MaxValueBytes()-reservedHeadJSONSize, chunk.Capacity(limits.MaxValueBytes(), limits.MaxTxnValues()-1))
	return machines*start.MaxJSONSizeSameJob() <= room
}

// reservedHeadJSONSize bounds what a round's record holds beside its starts.
const reservedHeadJSONSize = maxRecordHeadJSONSize + 2*MaxProvisionJSONSize

package roundlog

import (
	"math"

	"badgerbay/internal/chunk"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
)

const (
	// placeholderMachineID stands for the names of machines that are not known yet.
	placeholderMachineID = ident.MachineID("machine-12345678")
	// reservedHeadJSONSize bounds what a round's record holds beside its starts.
	reservedHeadJSONSize = maxRecordHeadJSONSize + 2*MaxProvisionJSONSize
)

// GangRecordsFit tells whether the record of a gang and that of the round which starts it hold
// all its tasks, tasksPerMachine on each machine, in the values of one transaction. One that
// does not fit can never start whole; see docs/design.md for the bound. specSize is the JSON
// size of the spec, in bytes.
func GangRecordsFit(spec *jobs.Spec, tasksPerMachine, specSize int, limits config.State) bool {
	if tasksPerMachine <= 0 {
		return false
	}
	machines := (spec.Tasks + tasksPerMachine - 1) / tasksPerMachine
	return jobRecordFits(spec, machines, specSize, limits) && roundRecordFits(spec, machines, limits)
}

func jobRecordFits(spec *jobs.Spec, machines, specSize int, limits config.State) bool {
	job := &jobs.Job{Spec: *spec}
	spare := job.SpareBytes(limits.MaxValueBytes(), limits.MaxTxnValues(), specSize)
	return jobs.SpareBytes(machines)*job.GroupBytes(placeholderMachineID, 0)+job.GroupBytes("", spec.Tasks) <= spare
}

func roundRecordFits(spec *jobs.Spec, machines int, limits config.State) bool {
	largestIndex := indexset.Set{{First: ident.TaskIndex(spec.Tasks), Last: ident.TaskIndex(spec.Tasks)}}
	start := Start{Machine: placeholderMachineID, Session: math.MaxInt32, Tasks: largestIndex}
	// One value is left to what else the round starts: with it a gang might wait for ever,
	// if higher work came in each round.
	room := max(limits.MaxValueBytes()-reservedHeadJSONSize, chunk.Capacity(limits.MaxValueBytes(), limits.MaxTxnValues()-1))
	return machines*start.MaxJSONSizeSameJob() <= room
}

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
	// placeholderMachineID is used in size bounds for the names of machines that are not known
	// yet.
	placeholderMachineID = ident.MachineID("machine-12345678")
	// reservedHeadJSONSize bounds the JSON size, in bytes, of a round's record without its
	// starts.
	reservedHeadJSONSize = maxRecordHeadJSONSize + 2*MaxProvisionJSONSize
)

// GangRecordsFit reports whether the record of a gang and the record of the round that starts it
// can each hold all tasks of the gang, with tasksPerMachine tasks on each machine, in the values
// of one transaction. A gang whose records don't fit can never start as a whole; see
// docs/design.md for the bound. specSize is the JSON size of the spec, in bytes.
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
	// One value of the transaction is reserved for the round's other starts. A gang that needed
	// that value too might never start, if work of higher priority arrived in every round.
	room := max(limits.MaxValueBytes()-reservedHeadJSONSize, chunk.Capacity(limits.MaxValueBytes(), limits.MaxTxnValues()-1))
	return machines*start.MaxJSONSizeSameJob() <= room
}

package round

import (
	"math"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/parts"
	"badgerbay/internal/unit"
)

// nameForBound stands for the names of machines that are not known yet.
const nameForBound = unit.MachineID("machine-12345678")

// GangFits tells whether the records of a gang and of the round that starts it hold
// all its tasks, so many to a machine, in the values of one transaction. One that
// does not fit can never start whole; see docs/design.md for the bound.
func GangFits(s *checkpoint.Spec, perMachine, specSize int, limits config.State) bool {
	if perMachine <= 0 {
		return false
	}
	machines := (s.Tasks + perMachine - 1) / perMachine
	j := &checkpoint.Job{Spec: *s}
	checkpointRoom := j.SpareBytes(limits.MaxValueBytes(), limits.MaxTxnValues(), specSize)
	if checkpoint.SpareBytes(machines)*j.GroupBytes(nameForBound, 0)+j.GroupBytes("", s.Tasks) > checkpointRoom {
		return false
	}
	widest := unit.Set{{First: unit.TaskIndex(s.Tasks), Last: unit.TaskIndex(s.Tasks)}}
	start := Start{Machine: nameForBound, Session: math.MaxInt32, Tasks: widest}
	// One value is left to what else the round starts: with it a gang might wait
	// for ever, if higher work came in each round.
	room := max(limits.MaxValueBytes()-roundHead, parts.Capacity(limits.MaxValueBytes(), limits.MaxTxnValues()-1))
	return machines*start.nextSize() <= room
}

// roundHead bounds what a round's record holds beside its starts.
const roundHead = recordSize + 2*hireSize

package round

import (
	"math"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
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
	room := j.Room(limits.ValueBytes(), limits.TxnOps, specSize)
	if checkpoint.Room(machines)*j.Cost(nameForBound, 0)+j.Cost("", s.Tasks) > room {
		return false
	}
	widest := unit.Ranges{{First: unit.TaskIndex(s.Tasks), Last: unit.TaskIndex(s.Tasks)}}
	start := Start{Machine: nameForBound, Session: math.MaxInt32, Tasks: widest}
	head := (&Record{}).headSize() + 2*hireSize
	return head+machines*start.nextSize() <= gangBytes(limits.ValueBytes(), limits.TxnOps)
}

package jobs

import (
	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// recordOverheadBytes bounds, in JSON, what a record holds beside its spec and what
	// is packed.
	recordOverheadBytes = 256
	// groupOverheadBytes bounds the bytes of a packed group, leaving aside its tasks
	// and the name of its machine: list heads, session and attempt.
	groupOverheadBytes = 16
	// arrayHeaderBytes bounds the head of the packed list of groups.
	arrayHeaderBytes = 5
	// assumedMachineIDBytes is the length of a machine's name where it is not known yet.
	assumedMachineIDBytes = 32
)

// RecordCapacity is how many bytes of packed text a record may hold beside its spec, of
// specBytes in JSON, where a value holds limit bytes and so many values may be written.
func RecordCapacity(valueLimit, maxValues, specBytes int) int {
	return valueLimit - specBytes - recordOverheadBytes + chunk.Capacity(valueLimit, maxValues-1)
}

// SpareBytes is how many bytes more a record may hold before they are packed into text.
type SpareBytes int

// SpareBytes is how much may be added to the job's placements so that its record fits into so
// many values of limit bytes, whatever order the tasks end in: each task that is placed is, at
// any later time, at most one span of its group or of those done.
func (j *Job) SpareBytes(valueLimit, maxValues, specBytes int) SpareBytes {
	const textBytes, unpackedBytes = 4, 3 // of base64
	spare := SpareBytes(RecordCapacity(valueLimit, maxValues, specBytes)*unpackedBytes/textBytes - j.Done.DeltaSizeBound() - arrayHeaderBytes)
	counted := map[groupKey]bool{}
	for _, p := range j.Placements {
		if key := p.groupKey(); !counted[key] {
			counted[key] = true
			spare -= groupOverhead(p.Machine)
		}
	}
	return spare - j.bytesPerTask()*SpareBytes(len(j.Placements))
}

// FittingTasks is how many of n tasks may be added as one group on the machine.
func (j *Job) FittingTasks(spare SpareBytes, machine ident.MachineID, n int) int {
	return max(0, min(n, int((spare-groupOverhead(machine))/j.bytesPerTask())))
}

// FittingSingleTasks is how many tasks may be added, each on a machine of its own.
func (j *Job) FittingSingleTasks(spare SpareBytes) int {
	return max(0, int(spare/(groupOverheadBytes+assumedMachineIDBytes+j.bytesPerTask())))
}

// GroupBytes is what n tasks that are added as one group take of the spare bytes.
func (j *Job) GroupBytes(machine ident.MachineID, n int) SpareBytes {
	return groupOverhead(machine) + j.bytesPerTask()*SpareBytes(n)
}

func groupOverhead(machine ident.MachineID) SpareBytes {
	return SpareBytes(groupOverheadBytes + len(machine))
}

// bytesPerTask bounds what a span of one task takes.
func (j *Job) bytesPerTask() SpareBytes {
	return SpareBytes(2 * wire.UintSize(uint64(j.Spec.Tasks)))
}

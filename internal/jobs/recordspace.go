package jobs

import (
	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// recordOverheadBytes bounds the JSON size of a record without its spec and its packed
	// text.
	recordOverheadBytes = 256
	// groupOverheadBytes bounds the size of an encoded group without its tasks and the name of
	// its machine: array headers, session and attempt.
	groupOverheadBytes = 16
	// arrayHeaderBytes bounds the size of the array header of the encoded list of groups.
	arrayHeaderBytes = 5
	// assumedMachineIDBytes is the length that is assumed for the name of a machine that is not
	// known yet.
	assumedMachineIDBytes = 32
)

// RecordCapacity returns how many bytes of packed text a record may hold beside its spec if it is
// written as up to maxValues values of at most valueLimit bytes each. specBytes is the size of
// the spec in JSON.
func RecordCapacity(valueLimit, maxValues, specBytes int) int {
	return valueLimit - specBytes - recordOverheadBytes + chunk.Capacity(valueLimit, maxValues-1)
}

// SpareBytes is a number of bytes that may still be added to a record, counted before they are
// packed into text.
type SpareBytes int

// SpareBytes returns how many bytes may be added to the job's placements so that its record still
// fits into maxValues values of valueLimit bytes, in whatever order the tasks end. The bound
// counts one span for each placed task, because at any later time the task accounts for at most
// one span, either in its group or in the done set.
func (j *Job) SpareBytes(valueLimit, maxValues, specBytes int) SpareBytes {
	const textBytes, unpackedBytes = 4, 3 // base64 encodes 3 bytes as 4 bytes of text
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

// FittingTasks returns how many of n tasks may be added as one group on the machine.
func (j *Job) FittingTasks(spare SpareBytes, machine ident.MachineID, n int) int {
	return max(0, min(n, int((spare-groupOverhead(machine))/j.bytesPerTask())))
}

// FittingSingleTasks returns how many tasks may be added if each is placed on a separate machine.
func (j *Job) FittingSingleTasks(spare SpareBytes) int {
	return max(0, int(spare/(groupOverheadBytes+assumedMachineIDBytes+j.bytesPerTask())))
}

// GroupBytes returns how many of the spare bytes n tasks take that are added as one group.
func (j *Job) GroupBytes(machine ident.MachineID, n int) SpareBytes {
	return groupOverhead(machine) + j.bytesPerTask()*SpareBytes(n)
}

func groupOverhead(machine ident.MachineID) SpareBytes {
	return SpareBytes(groupOverheadBytes + len(machine))
}

// bytesPerTask returns an upper bound for the encoded size of a span of one task.
func (j *Job) bytesPerTask() SpareBytes {
	return SpareBytes(2 * wire.UintSize(uint64(j.Spec.Tasks)))
}

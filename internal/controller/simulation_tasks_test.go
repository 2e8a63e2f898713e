package controller

import (
	"iter"
	"maps"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// placedTask is where a task runs, and what it counts for.
type placedTask struct {
	machine ident.MachineID
	zone    ident.Zone
	team    ident.Team
	cpus    float64
}

// taskTable holds the tasks that are on machines, by job and with sums by team, so
// that the rules can be checked at each start without a look at all tasks.
type taskTable struct {
	byJob map[ident.JobID]map[ident.TaskID]placedTask
	cpus  map[ident.Team]float64
	count int
}

func newTaskTable() *taskTable {
	return &taskTable{byJob: map[ident.JobID]map[ident.TaskID]placedTask{}, cpus: map[ident.Team]float64{}}
}

// put notes that a task of the spec is on a machine, in place of any other.
func (t *taskTable) put(id ident.TaskID, spec *jobs.Spec, machine ident.MachineID, zone ident.Zone) {
	t.remove(id)
	if t.byJob[id.Job] == nil {
		t.byJob[id.Job] = map[ident.TaskID]placedTask{}
	}
	t.byJob[id.Job][id] = placedTask{machine: machine, zone: zone, team: spec.Team, cpus: spec.CPUs}
	t.cpus[spec.Team] += spec.CPUs
	t.count++
}

func (t *taskTable) remove(id ident.TaskID) {
	placed, ok := t.byJob[id.Job][id]
	if !ok {
		return
	}
	delete(t.byJob[id.Job], id)
	t.cpus[placed.team] -= placed.cpus
	t.count--
}

// removeFrom takes out the tasks on a machine.
func (t *taskTable) removeFrom(machine ident.MachineID) {
	for id, placed := range t.all() {
		if placed.machine == machine {
			t.remove(id)
		}
	}
}

// machineOf is the machine that a task is on, or "".
func (t *taskTable) machineOf(id ident.TaskID) ident.MachineID { return t.byJob[id.Job][id].machine }

// len counts the tasks on machines.
func (t *taskTable) len() int { return t.count }

// ofJob holds the tasks of a job. It must not be changed.
func (t *taskTable) ofJob(id ident.JobID) map[ident.TaskID]placedTask { return t.byJob[id] }

// all goes through the tasks in no order. They may be removed meanwhile.
func (t *taskTable) all() iter.Seq2[ident.TaskID, placedTask] {
	return func(yield func(ident.TaskID, placedTask) bool) {
		for _, tasks := range t.byJob {
			for id, placed := range tasks {
				if !yield(id, placed) {
					return
				}
			}
		}
	}
}

// usedCPUs is what the teams' tasks take of the machines.
func (t *taskTable) usedCPUs() map[ident.Team]float64 { return maps.Clone(t.cpus) }

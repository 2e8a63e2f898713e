package controller

import (
	"iter"
	"maps"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// placedTask is the placement of a task and its share of the team's usage.
type placedTask struct {
	machine ident.MachineID
	zone    ident.Zone
	team    ident.Team
	cpus    float64
}

// taskTable holds the tasks that are on machines, by job, and the total CPUs by team, so that the invariants can be
// checked at each start without iterating over all tasks.
type taskTable struct {
	byJob map[ident.JobID]map[ident.TaskID]placedTask
	cpus  map[ident.Team]float64
	count int
}

func newTaskTable() *taskTable {
	return &taskTable{byJob: map[ident.JobID]map[ident.TaskID]placedTask{}, cpus: map[ident.Team]float64{}}
}

// put records that a task is on a machine and replaces its previous placement, if any.
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

// removeFrom removes all tasks on a machine.
func (t *taskTable) removeFrom(machine ident.MachineID) {
	for id, placed := range t.all() {
		if placed.machine == machine {
			t.remove(id)
		}
	}
}

// machineOf returns the machine that a task is on, or "".
func (t *taskTable) machineOf(id ident.TaskID) ident.MachineID { return t.byJob[id.Job][id].machine }

// len returns the number of tasks on machines.
func (t *taskTable) len() int { return t.count }

// ofJob returns the tasks of a job. The caller must not change the map.
func (t *taskTable) ofJob(id ident.JobID) map[ident.TaskID]placedTask { return t.byJob[id] }

// all iterates over the tasks in no particular order. Tasks may be removed during the iteration.
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

// usedCPUs returns the CPUs that each team's tasks use.
func (t *taskTable) usedCPUs() map[ident.Team]float64 { return maps.Clone(t.cpus) }

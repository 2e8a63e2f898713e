package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// minReplicaAgeSeconds: a replica is moved only after so long, in seconds, since a start
// that is soon undone is no start to its user.
const minReplicaAgeSeconds = 40

const (
	// machinesPerDrain: of the machines in use, one in so many is emptied at a time.
	machinesPerDrain = 20
	// replicaHeadroomShare is the part of the room for replicas that stays free, so that
	// those that come next need not wait for machines just returned.
	replicaHeadroomShare = 0.1
)

// consolidate picks machines with few replicas that all fit on others which
// hold their images. They are emptied, so that they can be returned: replicas
// end one by one, and what is left would keep many machines for little. Tasks
// of arrays on them run to their end.
func (p *planner) consolidate(short []shortage) {
	if !p.snapshot.MayDrain || len(p.spareShortages) > 0 || !p.unplacedWorkCanWait(short) {
		return
	}
	var inUse, from []*candidateMachine
	for _, b := range p.machines {
		l := b.machine.Load()
		if l.Tasks > 0 {
			inUse = append(inUse, b)
		}
		if l.Services > 0 && !b.receivesTasks {
			from = append(from, b)
		}
	}
	slices.SortStableFunc(from, func(x, y *candidateMachine) int { return cmp.Compare(x.replicaShare(), y.replicaShare()) })
	v := &consolidation{planner: p, free: map[*candidateMachine]jobs.Resources{}, moved: map[*jobs.Job]int{}}
	for _, b := range inUse {
		v.free[b] = b.free
	}
	limit := max(1, len(inUse)/machinesPerDrain)
	for i, b := range from {
		if len(p.plan.Drain) == limit || i == 2*limit {
			return
		}
		if b.machineType.Capacity.CPUs <= p.surplusCPUs {
			v.drain(b)
		}
	}
}

// unplacedWorkCanWait tells whether all work that found no room can wait.
func (p *planner) unplacedWorkCanWait(short []shortage) bool {
	for _, s := range short {
		if p.slackSeconds(s.job) < ampleSlackSeconds {
			return false
		}
	}
	return true
}

// replicaShare is the part of the bin's machine that its replicas take, about.
func (b *candidateMachine) replicaShare() float64 {
	return float64(b.machine.Load().Services) / max(1, b.machineType.Capacity.CPUs)
}

// consolidation is the emptying of some machines in one plan.
type consolidation struct {
	planner *planner
	free    map[*candidateMachine]jobs.Resources // of the machines in use that stay
	moved   map[*jobs.Job]int
	// reservations is the room that the replicas of the machine at hand have been given,
	// to be given back if not all of them find some. A copy of all machines for
	// each one that was tried cost 77 MB a plan at 4,000.
	reservations []reservation
}

// reservation is room that was set aside on a bin.
type reservation struct {
	machine *candidateMachine
	need    jobs.Resources
}

// drain stops the replicas of a machine if they fit on others in use, with the
// room kept free still there after it.
func (v *consolidation) drain(b *candidateMachine) {
	live := replicasOf(b)
	if !v.planner.replicasMovable(live) {
		return
	}
	own := v.free[b]
	delete(v.free, b)
	v.reservations = v.reservations[:0]
	if !v.fitReplicas(live, b.zone) || !v.leavesHeadroom(&live[0].Job.Spec) {
		v.releaseReservations()
		v.free[b] = own
		return
	}
	v.planner.surplusCPUs -= b.machineType.Capacity.CPUs
	v.planner.plan.Drain = append(v.planner.plan.Drain, b.machine.ID)
	for _, r := range live {
		v.moved[r.Job]++
		v.planner.plan.Evictions = append(v.planner.plan.Evictions, Eviction{Placement: r})
	}
}

// fitReplicas finds a place for each of the replicas.
func (v *consolidation) fitReplicas(live []*jobs.Placement, leaves ident.Zone) bool {
	for _, r := range live {
		if !v.fitReplica(r.Job, leaves) {
			return false
		}
	}
	return true
}

// releaseReservations undoes what fitOne has set aside for the machine at hand.
func (v *consolidation) releaseReservations() {
	for _, t := range v.reservations {
		v.free[t.machine] = v.free[t.machine].Add(t.need)
	}
}

func replicasOf(b *candidateMachine) []*jobs.Placement {
	var out []*jobs.Placement
	for _, v := range b.livePlacements() {
		if v.Job.Spec.Service {
			out = append(out, v)
		}
	}
	return out
}

func (p *planner) replicasMovable(live []*jobs.Placement) bool {
	for _, v := range live {
		if v.State != jobs.PlacementRunning || v.Stopping || p.snapshot.Now.Sub(v.RunningSince).Seconds() < minReplicaAgeSeconds {
			return false
		}
	}
	return true
}

// leavesHeadroom tells whether the machines that stay keep the headroom for replicas
// like these, and the room kept free for the classes that must start fast.
func (v *consolidation) leavesHeadroom(spec *jobs.Spec) bool {
	var free, all jobs.Resources
	for b, room := range v.free {
		if spec.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
			free = free.Add(room)
			all = all.Add(b.machineType.Capacity)
		}
	}
	if !free.Fits(all.Scale(replicaHeadroomShare)) {
		return false
	}
	for _, s := range v.planner.snapshot.SpareSpecs {
		left := 0
		for b, room := range v.free {
			if s.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
				left += room.Add(v.planner.evictableBelow(s, b)).MaxCopies(s.TaskResources())
			}
		}
		if left < v.planner.snapshot.Policy.SpareTasks {
			return false
		}
	}
	return true
}

// fitReplica finds a place for a replica that leaves the zone. Of a job only one
// replica is moved in a plan, so that its own place in the zone is free again.
func (v *consolidation) fitReplica(j *jobs.Job, leaves ident.Zone) bool {
	if v.moved[j] > 0 {
		return false
	}
	for _, b := range v.planner.machines {
		room, ok := v.free[b]
		if ok && room.Fits(j.Spec.TaskResources()) && v.planner.allows(j, b) && b.machine.HasImage(j.Spec.Image) &&
			(b.zone == leaves || v.planner.zoneRoom(j, b.zone) > 0) {
			v.free[b] = room.Sub(j.Spec.TaskResources())
			v.reservations = append(v.reservations, reservation{b, j.Spec.TaskResources()})
			return true
		}
	}
	return false
}

package round

import (
	"cmp"
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

type bin struct {
	m    *fleet.Machine // nil: coming
	typ  *fleet.MachineType
	zone unit.Zone
	spot bool
	free checkpoint.Resources
	// later is room that stops are making and nobody is promised yet. Nothing
	// may start in it before their exits are seen.
	later checkpoint.Resources
	live  []*checkpoint.Placement // see running
	// started: this plan starts tasks here.
	started bool
}

// running lists the placements on the bin's machine. A plan changes none, so
// they are listed once.
func (b *bin) running() []*checkpoint.Placement {
	if b.live == nil {
		b.live = b.m.LivePlacements()
	}
	return b.live
}

// promise keeps room for one task: what is being made first, then what is free.
func (b *bin) promise(need checkpoint.Resources) {
	rest := b.later.Sub(need)
	b.later = rest.Max(checkpoint.Resources{})
	b.free = b.free.Add(rest.Sub(b.later)).Max(checkpoint.Resources{})
}

func (p *planner) makeBins() {
	for _, m := range p.w.Fleet.Machines() {
		if p.w.Fleet.Schedulable(m) && !p.w.Fleet.HeartbeatOverdue(p.w.Now, m) {
			p.bins = append(p.bins, &bin{m: m, typ: p.w.Fleet.MachineType(m.Type), zone: m.Zone, spot: m.Spot, free: p.w.Fleet.FreeCapacity(m)})
		}
	}
	for _, b := range p.bins {
		p.inZone[b.zone]++
	}
	for _, c := range p.w.Coming {
		p.inZone[c.Offer.Zone]++
		if t := p.w.Fleet.MachineType(c.Offer.Type); t != nil {
			p.come = append(p.come, &bin{typ: t, zone: c.Offer.Zone, spot: c.Offer.Spot, free: t.Capacity})
		}
	}
}

// allowed tells whether the bin may take the job's tasks.
func (p *planner) allowed(j *checkpoint.Job, b *bin) bool {
	if !j.Spec.AllowsMachine(b.typ.Name, b.zone, b.spot) {
		return false
	}
	if b.m == nil {
		return true
	}
	return !p.avoids(j, b)
}

// avoids tells whether the job has just failed on the bin's machine.
func (p *planner) avoids(j *checkpoint.Job, b *bin) bool {
	until, bad := j.AvoidUntil[b.m.ID]
	return bad && !until.Before(p.w.Now)
}

// candidate is a bin with what ranks it.
type candidate struct {
	b        *bin
	image    bool
	anchored bool
	replicas int
}

// ranked returns the bins for the job, best first: those that hold the image,
// then spot machines for tasks that may use them, then the most free room.
func (p *planner) ranked(j *checkpoint.Job) []*bin {
	need, shape := j.Spec.TaskResources(), shapeOf(&j.Spec)
	if p.nowhere[shape] {
		return nil
	}
	p.plan.Work += len(p.bins)
	var found []candidate
	fits := false
	for _, b := range p.bins {
		if !b.free.Fits(need) || !j.Spec.AllowsMachine(b.typ.Name, b.zone, b.spot) {
			continue
		}
		fits = true
		if p.avoids(j, b) || !p.mayUse(j, b) {
			continue
		}
		c := candidate{b: b, image: b.m.HasImage(j.Spec.Image), anchored: b.m.RunsService()}
		if j.Spec.Service {
			c.replicas = p.replicas(b)
		}
		found = append(found, c)
	}
	// Within a plan free room only shrinks: what fits nowhere now need not be
	// tried again for the next job of the same shape.
	p.nowhere[shape] = !fits
	slices.SortStableFunc(found, func(x, y candidate) int { return p.compare(j, x, y) })
	out := make([]*bin, len(found))
	for i, c := range found {
		out[i] = c.b
	}
	return out
}

func (p *planner) compare(j *checkpoint.Job, x, y candidate) int {
	switch {
	case x.image != y.image:
		return first(x.image)
	case p.w.Policy.PreferSpot && x.b.spot != y.b.spot:
		return first(x.b.spot)
	case !x.image:
		return cmp.Compare(y.b.free.CPUs, x.b.free.CPUs)
	// Among those that hold the image, the fullest: so that others run empty
	// and can be returned.
	case x.anchored != y.anchored:
		return first(x.anchored)
	// Replicas go where fewest are: a machine that dies takes few of them.
	case x.replicas != y.replicas:
		return cmp.Compare(x.replicas, y.replicas)
	}
	return cmp.Compare(x.b.free.CPUs, y.b.free.CPUs)
}

// first orders what is so before what isn't.
func first(so bool) int {
	if so {
		return -1
	}
	return 1
}

// shape is what decides on which machines a task may go, leaving aside where
// the job's other tasks are.
type shape struct {
	need  checkpoint.Resources
	zone  unit.Zone
	spot  bool
	types string
}

func shapeOf(s *checkpoint.Spec) shape {
	types := ""
	for _, t := range s.MachineTypes {
		types += string(t) + " "
	}
	return shape{need: s.TaskResources(), zone: s.Zone, spot: s.Spot, types: types}
}

// replicas counts the service tasks on the bin's machine, or about to be there.
func (p *planner) replicas(b *bin) int { return p.placed[b] + b.m.Load().Services }

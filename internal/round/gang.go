package round

import (
	"sort"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// holdsAll tells whether a gang fits the free room whole: all its tasks that
// are not done must be queued, and there must be room for each now. A gang
// enters a round whole or not at all.
func (p *planner) holdsAll(j *checkpoint.Job, bins []*bin, left int) bool {
	if len(j.Live) > 0 || left < j.Queue.Len() {
		return false
	}
	room := map[unit.Zone]int{}
	size := p.size
	for _, b := range bins {
		n := fitCount(b.free, j.Spec.Need())
		room[b.zone] = min(p.zoneRoom(j, b.zone), room[b.zone]+n)
		size += (&Start{Job: j.ID, Machine: b.m.ID, Tasks: unit.Full(max(1, n))}).SizeOf()
	}
	if size+2*hireSize > p.w.ValueBytes {
		return false
	}
	if j.Spec.OneZone {
		return p.pickZone(j, bins, room, left)
	}
	sum := 0
	for _, n := range room {
		sum += n
	}
	return sum >= left
}

// pickZone puts the bins of a zone that holds the whole gang first.
func (p *planner) pickZone(j *checkpoint.Job, bins []*bin, room map[unit.Zone]int, left int) bool {
	for _, b := range bins {
		if room[b.zone] >= left {
			zone := b.zone
			sort.SliceStable(bins, func(a, c int) bool { return bins[a].zone == zone && bins[c].zone != zone })
			return true
		}
	}
	return false
}

// wholeGang handles a gang that does not fit: what is coming may hold it, else
// machines are rented for the whole of it.
func (p *planner) wholeGang(j *checkpoint.Job, left int) int {
	if len(j.Live) > 0 || left < j.Queue.Len() {
		return 0
	}
	p.plan.Short += left
	room := 0
	for _, b := range append(append([]*bin(nil), p.bins...), p.come...) {
		if j.Spec.Allows(b.typ.Name, b.zone, b.spot) {
			room += fitCount(b.free, j.Spec.Need())
		}
	}
	return max(0, left-room)
}

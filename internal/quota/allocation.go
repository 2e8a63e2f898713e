package quota

import "badgerbay/internal/clock"

// allocationStep is what one step of the allocator decides by, and the change that it
// makes.
type allocationStep struct {
	now        clock.Instant
	usage      JobUsage
	mayGrant   bool // holders may get more than they have
	maxRecords int  // of the change
	change     *pendingChange
}

// changeAllocations adds to the step's change what a holder's request changes of its
// allocations, and tells whether it changes any.
func (a *Allocator) changeAllocations(step allocationStep, request AllocationRequest) bool {
	changed := false
	for _, team := range request.Teams {
		account := a.teams[team.Team]
		if account == nil || !account.limit.IsLimited() || account.damaged {
			continue
		}
		record, changedBefore := step.change.records[team.Team]
		if !changedBefore {
			if len(step.change.records) == step.maxRecords {
				continue
			}
			record = account.record.clone()
		}
		if adjustAllocation(step, account, &record, request.Holder, team) {
			step.change.records[team.Team] = record
			changed = true
		}
	}
	return changed
}

// adjustAllocation changes a holder's allocation in a record as it requests: down to
// what it has released, and up to what it desires, as far as there is any. It tells
// whether the allocation changes.
func adjustAllocation(step allocationStep, account *teamAccount, record *TeamRecord, holder HolderID, request TeamRequest) bool {
	current := record.allocationOf(holder.Node)
	if current != nil && current.Holder != holder {
		return false // of an earlier incarnation, which is revoked first
	}
	if current != nil && request.ReleaseSeq < current.ReleaseSeq {
		return false // overtaken by a later request
	}
	kept := Quantity{}
	if current != nil {
		kept = current.Quantity
		if request.ReleaseSeq > current.ReleaseSeq {
			kept = kept.Min(request.Ceiling)
		}
	}
	total := kept.Add(grantFor(step, account, record, request, kept))
	if current != nil {
		changed := current.Quantity != total || current.ReleaseSeq != request.ReleaseSeq
		current.Quantity, current.ReleaseSeq = total, request.ReleaseSeq
		return changed
	}
	if total.IsZero() || len(record.Allocations) == MaxHolders {
		return false
	}
	record.Allocations = append(record.Allocations, Allocation{Holder: holder, Quantity: total, ReleaseSeq: request.ReleaseSeq})
	return true
}

// grantFor is what a holder gets beside what it keeps. At most half of what is free goes
// to one holder at a time, so that others find some too.
func grantFor(step allocationStep, account *teamAccount, record *TeamRecord, request TeamRequest, kept Quantity) Quantity {
	if !step.mayGrant || !account.recallTarget(step.now).IsZero() {
		return Quantity{}
	}
	free := account.limit.Sub(record.Allocated()).Sub(step.usage.Uncovered(request.Team))
	half := Quantity{MilliCPU: (free.MilliCPU + 1) / 2, MilliGPU: (free.MilliGPU + 1) / 2}
	return request.Desired.Sub(kept).Min(half).Max(Quantity{})
}

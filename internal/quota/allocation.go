package quota

import "badgerbay/internal/clock"

// allocationStep holds the inputs of one step of the allocator and the change that the step builds.
type allocationStep struct {
	now        clock.Instant
	usage      JobUsage
	mayGrant   bool // whether holders may be granted more than they have
	maxRecords int  // maximum number of team records in the change
	change     *pendingChange
}

// changeAllocations applies a holder's request to the holder's allocations, adds the changed records to the step's
// change, and reports whether there are any.
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

// adjustAllocation applies a holder's request to its allocation in record. If the request reports a release that is not
// stored yet, it lowers the allocation to the request's ceiling. It then raises the allocation towards the desired
// quantity, as far as free quota allows. It reports whether the allocation changed.
func adjustAllocation(step allocationStep, account *teamAccount, record *TeamRecord, holder HolderID, request TeamRequest) bool {
	current := record.allocationOf(holder.Node)
	if current != nil && current.Holder != holder {
		return false // held by an earlier incarnation of the node, which has to be revoked first
	}
	if current != nil && request.ReleaseSeq < current.ReleaseSeq {
		return false // a request with a later release has been applied already
	}
	kept := Quantity{}
	if current != nil {
		kept = current.Quantity
		if request.ReleaseSeq > current.ReleaseSeq {
			kept = kept.Min(request.Retained)
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

// grantFor returns how much a holder gets in addition to what it keeps. One grant is at most half of the free quota,
// so that some is left for other holders.
func grantFor(step allocationStep, account *teamAccount, record *TeamRecord, request TeamRequest, kept Quantity) Quantity {
	if !step.mayGrant || !account.recallTarget(step.now).IsZero() {
		return Quantity{}
	}
	free := account.limit.Sub(record.Allocated()).Sub(step.usage.Uncovered(request.Team))
	half := Quantity{MilliCPU: (free.MilliCPU + 1) / 2, MilliGPU: (free.MilliGPU + 1) / 2}
	return request.Desired.Sub(kept).Min(half).Max(Quantity{})
}

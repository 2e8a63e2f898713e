package controller

import (
	"context"
	"errors"

	"badgerbay/internal/fleet"
	"badgerbay/internal/leadership"
	"badgerbay/internal/rental"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

func (n *Node) provision(ctx context.Context, e ProvisionMachines) {
	sent := n.clock.Now()
	ids, err := n.cloud.Provision(ctx, e.Name, e.Offer, e.Count)
	n.enqueue(ctx, ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: sent, Machines: ids, Result: n.provisionResultOf(err)})
}

func (n *Node) provisionResultOf(err error) rental.ProvisionResult {
	switch {
	case err == nil:
		return rental.ProvisionGranted
	case errors.Is(err, rental.ErrNoCapacity):
		return rental.ProvisionNoCapacity
	case errors.Is(err, rental.ErrUnavailable):
		n.metrics.Throttled.Inc()
		return rental.ProvisionDeferred
	case errors.Is(err, rental.ErrMalformed):
		n.log.Error("rental refused", "err", err)
		return rental.ProvisionRejected
	}
	n.metrics.UncertainOutcomes.Inc()
	return rental.ProvisionOutcomeUnknown
}

func (n *Node) deprovision(ctx context.Context, ids []unit.MachineID) {
	err := n.cloud.Deprovision(ctx, ids)
	if err != nil {
		n.log.Info("release not answered", "machines", ids, "err", err)
	}
	n.enqueue(ctx, DeprovisionCompleted{Machines: ids, OK: err == nil})
}

func (n *Node) listMachines(ctx context.Context, since unit.MachineID) {
	machines, more, err := n.cloud.ListMachines(ctx, since)
	n.enqueue(ctx, MachinesListed{Page: rental.Page{OK: err == nil, Machines: machines, More: more}})
}

func (n *Node) readMachineTypes(ctx context.Context) {
	types, err := n.cloud.MachineTypes(ctx)
	if err != nil {
		n.log.Info("machine types can't be read", "err", err)
		types = n.storedMachineTypes(ctx)
	} else {
		n.storeMachineTypes(ctx, types)
	}
	n.enqueue(ctx, MachineTypesRead{Types: types})
}

// machineTypesKey keeps the machine types, so that a node that starts while the
// cloud is down can still tell what may run.
const machineTypesKey = "flavors"

// storedMachineTypes reads the machine types that a leader has kept, or nil. A node
// that knows them from the cloud keeps what it knows.
func (n *Node) storedMachineTypes(ctx context.Context) []*fleet.MachineType {
	if n.view.Load().machineTypes != nil {
		return nil
	}
	item, err := n.store.Get(ctx, machineTypesKey)
	if n.noteStoreResult(err) != nil || item.ModRevision == 0 {
		return nil
	}
	types, err := rental.DecodeMachineTypes(item.Value)
	if err != nil {
		n.log.Warn("kept machine types can't be read", "err", err)
		return nil
	}
	n.log.Info("machine types taken from those kept", "types", len(types))
	return types
}

// storeMachineTypes stores the machine types once a term, if this node leads.
func (n *Node) storeMachineTypes(ctx context.Context, types []*fleet.MachineType) {
	epoch := n.view.Load().epoch
	value := rental.EncodeMachineTypes(types)
	if epoch == 0 || n.machineTypesStored.Load() || statestore.JSONSize(value) > n.settings.Params.StateService.Strictest().MaxValueBytes() ||
		!n.budget.TakeWrites(n.clock.Now(), statestore.PurposeFold, 1) {
		return
	}
	_, err := n.store.Commit(ctx, statestore.Txn{
		Conditions: []statestore.Condition{{Key: leadership.LeaderKey, ModRevision: unit.Revision(epoch)}},
		Operations: []statestore.Operation{{SetKey: machineTypesKey, Value: value}},
	})
	if n.noteStoreResult(err) == nil {
		n.machineTypesStored.Store(true)
	}
}

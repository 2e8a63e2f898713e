package node

import (
	"context"
	"errors"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"badgerbay/internal/cloud"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/kvstore"
)

func (n *Node) provision(ctx context.Context, e controller.ProvisionMachines) {
	sent := n.clock.Now()
	ids, err := n.cloud.Provision(ctx, e.Name, e.Offer, e.Count)
	n.enqueue(ctx, controller.ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: sent, Machines: ids, Result: n.provisionResultOf(err)})
}

func (n *Node) provisionResultOf(err error) cloud.ProvisionResult {
	switch {
	case err == nil:
		return cloud.ProvisionGranted
	case errors.Is(err, cloud.ErrNoCapacity):
		return cloud.ProvisionNoCapacity
	case errors.Is(err, cloud.ErrUnavailable):
		n.metrics.Throttled.Inc()
		return cloud.ProvisionDeferred
	case errors.Is(err, cloud.ErrMalformed):
		n.log.Error("rental refused", "err", err)
		return cloud.ProvisionRejected
	}
	n.metrics.UncertainOutcomes.Inc()
	return cloud.ProvisionOutcomeUnknown
}

func (n *Node) deprovision(ctx context.Context, ids []ident.MachineID) {
	err := n.cloud.Deprovision(ctx, ids)
	if err != nil {
		n.log.Info("release not answered", "machines", ids, "err", err)
	}
	n.enqueue(ctx, controller.DeprovisionCompleted{Machines: ids, OK: err == nil})
}

func (n *Node) listMachines(ctx context.Context, since ident.MachineID) {
	machines, more, err := n.cloud.ListMachines(ctx, since)
	n.enqueue(ctx, controller.MachinesListed{Page: cloud.Page{OK: err == nil, Machines: machines, More: more}})
}

func (n *Node) readMachineTypes(ctx context.Context) {
	types, err := n.cloud.MachineTypes(ctx)
	if err != nil {
		n.log.Info("machine types can't be read", "err", err)
		types = n.storedMachineTypes(ctx)
	} else {
		n.storeMachineTypes(ctx, types)
	}
	n.enqueue(ctx, controller.MachineTypesRead{Types: types})
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
	types, err := cloud.DecodeMachineTypes(item.Value)
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
	value := cloud.EncodeMachineTypes(types)
	if epoch == 0 || n.machineTypesStored.Load() || kvstore.JSONSize(value) > n.settings.Params.StateService.Strictest().MaxValueBytes() ||
		!n.budget.TakeWrites(n.clock.Now(), kvstore.PurposeFold, 1) {
		return
	}
	_, err := n.store.Commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: election.LeaderKey, ModRevision: ident.Revision(epoch)}},
		Operations: []kvstore.Operation{{SetKey: machineTypesKey, Value: value}},
	})
	if n.noteStoreResult(err) == nil {
		n.machineTypesStored.Store(true)
	}
}

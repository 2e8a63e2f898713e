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

func (n *Node) hire(ctx context.Context, e ProvisionMachines) {
	sent := n.clock.Now()
	ids, err := n.cloud.Provision(ctx, e.Name, e.Offer, e.Count)
	n.post(ctx, ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: sent, Machines: ids, Result: n.verdictOf(err)})
}

func (n *Node) verdictOf(err error) rental.ProvisionResult {
	switch {
	case err == nil:
		return rental.ProvisionGranted
	case errors.Is(err, rental.ErrNoCapacity):
		return rental.ProvisionNoCapacity
	case errors.Is(err, rental.ErrUnavailable):
		n.met.Throttled.Inc()
		return rental.ProvisionDeferred
	case errors.Is(err, rental.ErrMalformed):
		n.log.Error("rental refused", "err", err)
		return rental.ProvisionRejected
	}
	n.met.UncertainOutcomes.Inc()
	return rental.ProvisionOutcomeUnknown
}

func (n *Node) release(ctx context.Context, ids []unit.MachineID) {
	err := n.cloud.Deprovision(ctx, ids)
	if err != nil {
		n.log.Info("release not answered", "machines", ids, "err", err)
	}
	n.post(ctx, DeprovisionCompleted{Machines: ids, OK: err == nil})
}

func (n *Node) list(ctx context.Context, since unit.MachineID) {
	machines, more, err := n.cloud.ListMachines(ctx, since)
	n.post(ctx, MachinesListed{Page: rental.Page{OK: err == nil, Machines: machines, More: more}})
}

func (n *Node) flavors(ctx context.Context) {
	types, err := n.cloud.MachineTypes(ctx)
	if err != nil {
		n.log.Info("machine types can't be read", "err", err)
		types = n.keptFlavors(ctx)
	} else {
		n.keepFlavors(ctx, types)
	}
	n.post(ctx, MachineTypesRead{Types: types})
}

// flavorsKey keeps the machine types, so that a node that starts while the
// cloud is down can still tell what may run.
const flavorsKey = "flavors"

// keptFlavors reads the machine types that a leader has kept, or nil. A node
// that knows them from the cloud keeps what it knows.
func (n *Node) keptFlavors(ctx context.Context) []*fleet.MachineType {
	if n.view.Load().types != nil {
		return nil
	}
	item, err := n.store.Get(ctx, flavorsKey)
	if n.note(err) != nil || item.ModRevision == 0 {
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

// keepFlavors stores the machine types once a term, if this node leads.
func (n *Node) keepFlavors(ctx context.Context, types []*fleet.MachineType) {
	epoch := n.view.Load().epoch
	value := rental.EncodeMachineTypes(types)
	if epoch == 0 || n.kept.Load() || statestore.JSONSize(value) > n.set.Params.StateService.Strictest().MaxValueBytes() ||
		!n.budget.TakeWrites(n.clock.Now(), statestore.PurposeFold, 1) {
		return
	}
	_, err := n.store.Commit(ctx, statestore.Txn{
		Conditions: []statestore.Condition{{Key: leadership.LeaderKey, ModRevision: unit.Revision(epoch)}},
		Operations: []statestore.Operation{{SetKey: flavorsKey, Value: value}},
	})
	if n.note(err) == nil {
		n.kept.Store(true)
	}
}

package node

import (
	"context"
	"errors"
	"sync/atomic"

	"badgerbay/internal/cloud"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// cloudCalls carries out the cloud requests of the core.
type cloudCalls struct {
	*environment
	core   *coreActor
	store  *stateService
	client *cloud.Client

	typesStored atomic.Bool // whether this process has stored the machine types
}

// provision sends a provision request and posts its result to the core.
func (c *cloudCalls) provision(ctx context.Context, e controller.ProvisionMachines) {
	sentAt := c.clock.Now()
	ids, err := c.client.Provision(ctx, e.Name, e.Offer, e.Count)
	c.core.post(ctx, controller.ProvisionCompleted{
		Name:     e.Name,
		Offer:    e.Offer,
		SentAt:   sentAt,
		Result:   c.classifyProvisionError(err),
		Machines: ids,
	})
}

// classifyProvisionError returns the result of a provision request that returned err, and counts and logs failures.
func (c *cloudCalls) classifyProvisionError(err error) cloud.ProvisionResult {
	switch {
	case err == nil:
		return cloud.ProvisionGranted
	case errors.Is(err, cloud.ErrNoCapacity):
		return cloud.ProvisionNoCapacity
	case errors.Is(err, cloud.ErrUnavailable):
		c.metrics.Throttled.Inc()
		return cloud.ProvisionDeferred
	case errors.Is(err, cloud.ErrMalformed):
		c.log.Error("provision request rejected", "err", err)
		return cloud.ProvisionRejected
	}
	c.metrics.UncertainOutcomes.Inc()
	return cloud.ProvisionOutcomeUnknown
}

// deprovision returns machines to the cloud and posts the result to the core.
func (c *cloudCalls) deprovision(ctx context.Context, ids []ident.MachineID) {
	err := c.client.Deprovision(ctx, ids)
	if err != nil {
		c.log.Info("deprovision request failed", "machines", ids, "err", err)
	}
	c.core.post(ctx, controller.DeprovisionCompleted{Machines: ids, OK: err == nil})
}

// listMachines reads the page of the machine list that follows the machine after.
func (c *cloudCalls) listMachines(ctx context.Context, after ident.MachineID) {
	machines, more, err := c.client.ListMachines(ctx, after)
	c.core.post(ctx, controller.MachinesListed{Page: cloud.Page{OK: err == nil, Machines: machines, More: more}})
}

// readMachineTypes reads the machine types from the cloud or, if that fails, from the state service.
func (c *cloudCalls) readMachineTypes(ctx context.Context) {
	types, err := c.client.MachineTypes(ctx)
	if err != nil {
		c.log.Info("reading machine types failed", "err", err)
		types = c.storedMachineTypes(ctx)
	} else {
		c.storeMachineTypes(ctx, types)
	}
	c.core.post(ctx, controller.MachineTypesRead{Types: types})
}

// machineTypesKey is the key under which the machine types are stored, so that a node that starts during an outage of
// the cloud can still determine which jobs can run.
const machineTypesKey = "flavors"

// storedMachineTypes returns the machine types that a leader has stored, or nil if there are none or they cannot be
// read. It also returns nil if the core already has machine types, which it then keeps.
func (c *cloudCalls) storedMachineTypes(ctx context.Context) []*fleet.MachineType {
	if c.core.view().machineTypes != nil {
		return nil
	}
	item, err := c.store.get(ctx, machineTypesKey)
	if err != nil || item.ModRevision == 0 {
		return nil
	}
	types, err := cloud.DecodeMachineTypes(item.Value)
	if err != nil {
		c.log.Warn("decoding stored machine types failed", "err", err)
		return nil
	}
	c.log.Info("using stored machine types", "types", len(types))
	return types
}

// storeMachineTypes stores the machine types once per process, if this node leads, the value fits and the write budget
// allows it.
func (c *cloudCalls) storeMachineTypes(ctx context.Context, types []*fleet.MachineType) {
	epoch := c.core.view().epoch
	if epoch == 0 || c.typesStored.Load() {
		return
	}
	value := cloud.EncodeMachineTypes(types)
	if kvstore.JSONSize(value) > c.storeLimits().MaxValueBytes() || !c.store.takeWrite(kvstore.PurposeCheckpoint) {
		return
	}
	_, err := c.store.commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(epoch)},
		Operations: []kvstore.Operation{{SetKey: machineTypesKey, Value: value}},
	})
	if err == nil {
		c.typesStored.Store(true)
	}
}

package node

import (
	"context"

	"badgerbay/internal/controller"
)

// execute starts an effect of the core. Replies are delivered immediately; other effects run in goroutines of their own
// and post their results to the core. A returned error stops the node.
func (n *Node) execute(ctx context.Context, e controller.Effect) error {
	switch e := e.(type) {
	case controller.Reply:
		e.Deliver()
	case controller.StopNode:
		return e.Err
	default:
		n.blockingEffects.Go(func() { n.executeBlocking(ctx, e) })
	}
	return nil
}

// executeBlocking carries out an effect that may block, such as a call to another service.
func (n *Node) executeBlocking(ctx context.Context, e controller.Effect) {
	switch e := e.(type) {
	case controller.ElectionEffect:
		n.election.execute(ctx, e.Effect)
	case controller.ReadRecords:
		n.records.load(ctx, e.Epoch)
	case controller.ReadJobRecord:
		n.records.readJob(ctx, e.Job)
	case controller.ReadQuotaRecords:
		n.records.readQuotas(ctx, e.Epoch)
	case controller.CommitTransaction:
		n.commit(ctx, e)
	case controller.SendCommands:
		n.commands.send(ctx, e)
	case controller.ProvisionMachines:
		n.cloud.provision(ctx, e)
	case controller.DeprovisionMachines:
		n.cloud.deprovision(ctx, e.Machines)
	case controller.ListMachines:
		n.cloud.listMachines(ctx, e.After)
	case controller.ReadMachineTypes:
		n.cloud.readMachineTypes(ctx)
	}
}

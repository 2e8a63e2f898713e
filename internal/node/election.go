package node

import (
	"context"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
)

// electionCalls executes the requests of the elector to the state service and posts the results to the core.
type electionCalls struct {
	*environment
	core  *coreActor
	store *stateService
	// readsHeartbeat is set if the leader's heartbeat is read together with the leader key.
	readsHeartbeat bool
}

// execute executes an effect of the elector and posts its result, if it has one, to the core.
func (c *electionCalls) execute(ctx context.Context, e election.Effect) {
	sentAt := c.clock.Now()
	switch e := e.(type) {
	case election.ReadLeaderKeys:
		c.post(ctx, c.readKeys(ctx))
	case election.GrantLease:
		lease, err := c.store.grantLease(ctx, e.TTL)
		c.post(ctx, election.LeaseGranted{OK: err == nil, LeaseID: lease, SentAt: sentAt})
	case election.RenewLease:
		err := c.store.renewLease(ctx, e.LeaseID)
		c.post(ctx, election.LeaseRenewed{LeaseID: e.LeaseID, Outcome: election.OutcomeOf(err), SentAt: sentAt})
	case election.AcquireLeaderKey:
		revision, err := c.store.commit(ctx, e.Txn())
		c.post(ctx, election.LeaderKeyAcquired{Outcome: election.OutcomeOf(err), Epoch: ident.Epoch(revision)})
	case election.RewriteLeaderKey:
		c.advanceEpoch(ctx, e)
	case election.TransferLeadership:
		c.transferLeadership(ctx, e)
	case election.WriteHeartbeat:
		_, err := c.store.commit(ctx, e.Txn())
		c.post(ctx, election.HeartbeatWritten{Epoch: e.Epoch, Outcome: election.HeartbeatOutcomeOf(err), SentAt: sentAt})
	case election.RevokeLease:
		c.revokeLease(ctx, e.LeaseID)
	}
}

func (c *electionCalls) post(ctx context.Context, in election.Input) {
	c.core.post(ctx, controller.ElectionInput{Input: in})
}

// transferLeadership sets the leader key to the node that is to lead next. If that fails or its outcome is unknown,
// it revokes the lease, so that any node may campaign for leadership.
func (c *electionCalls) transferLeadership(ctx context.Context, e election.TransferLeadership) {
	if _, err := c.store.commit(ctx, e.Txn()); err != nil {
		c.log.Debug("leadership transfer failed", "transferee", e.Transferee.Node, "err", err)
		c.revokeLease(ctx, e.LeaseID)
	}
}

// revokeLease revokes a lease. If that fails, the lease ends when its time to live expires.
func (c *electionCalls) revokeLease(ctx context.Context, id ident.LeaseID) {
	if err := c.store.revokeLease(ctx, id); err != nil {
		c.log.Debug("revoking lease failed", "lease", id, "err", err)
	}
}

// readKeys reads the leader key, and the leader's heartbeat if there is a warm standby. One request reads both.
func (c *electionCalls) readKeys(ctx context.Context) election.LeaderKeysRead {
	if !c.readsHeartbeat {
		leader, epoch, err := c.readLeader(ctx)
		return election.LeaderKeysRead{OK: err == nil, Leader: leader, Epoch: epoch}
	}
	items, _, err := c.store.list(ctx, election.LeaderKey)
	if err != nil {
		return election.LeaderKeysRead{}
	}
	keys, err := election.DecodeLeaderKeys(items)
	if err != nil {
		c.log.Error("decoding leader keys failed", "err", err)
	}
	return keys
}

// readLeader reads the leader key without the heartbeat. It returns epoch 0 if there is no leader.
func (c *electionCalls) readLeader(ctx context.Context) (election.LeaderRecord, ident.Epoch, error) {
	item, err := c.store.get(ctx, election.LeaderKey)
	if err != nil {
		return election.LeaderRecord{}, 0, err
	}
	leader, err := election.DecodeLeaderRecord(item)
	if err != nil {
		return election.LeaderRecord{}, 0, err
	}
	return leader, ident.Epoch(item.ModRevision), nil
}

// advanceEpoch rewrites the leader key to obtain a higher epoch. The leader's writes wait until the outcome is
// known, so if the transaction fails, advanceEpoch reads the key back at intervals:
//
//  1. If the read fails, it is repeated until this node no longer leads with the previous epoch.
//  2. If the key names another leader, leadership is lost.
//  3. If the key has a higher epoch, the rewrite was applied.
//  4. Otherwise the rewrite counts as refused.
func (c *electionCalls) advanceEpoch(ctx context.Context, e election.RewriteLeaderKey) {
	revision, err := c.store.commit(ctx, e.Txn())
	if err == nil {
		c.post(ctx, election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeOK, Epoch: ident.Epoch(revision)})
		return
	}
	for sleep(ctx, unknownOutcomeRetryInterval) {
		leader, epoch, err := c.readLeader(ctx)
		switch {
		case err != nil && c.core.view().epoch != e.PrevEpoch:
			return
		case err != nil:
			continue
		case leader != e.Leader:
			c.post(ctx, election.LeadershipLost{})
		case epoch > e.PrevEpoch:
			c.post(ctx, election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeOK, Epoch: epoch})
		default:
			c.post(ctx, election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeRefused})
		}
		return
	}
}

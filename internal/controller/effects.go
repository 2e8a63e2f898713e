package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/quota"
	"badgerbay/internal/statestore"
	"badgerbay/internal/wire"
)

const (
	doTimeout    = 3 * time.Second
	retryUnsure  = 150 * time.Millisecond
	watchHold    = 5 * time.Second
	watchBetween = 250 * time.Millisecond
)

// carryOut starts an effect. Answers leave at once; calls run beside the actor
// and post what comes of them.
func (n *Node) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case HeartbeatReply:
		e.Ticket.(chan HeartbeatReply) <- e
	case JobReply:
		e.Ticket.(chan JobReply) <- e
	case DelegationReply:
		e.Ticket.(chan DelegationReply) <- e
	case QuotaReply:
		e.Ticket.(chan quota.AllocationResponse) <- e.Answer
	case QuotaStatusReply:
		e.Ticket.(chan QuotaStatusReply) <- e
	case ReadQuotaRecords:
		go n.readQuota(ctx, e.Epoch)
	case ElectionEffect:
		go n.doLead(ctx, e.Effect)
	case ReadRecords:
		go n.loadAll(ctx, e.Epoch)
	case ReadJobRecord:
		go n.readJob(ctx, e.Job)
	case CommitTransaction:
		go n.commit(ctx, e)
	case SendCommands:
		go n.do(ctx, e)
	case ProvisionMachines:
		go n.hire(ctx, e)
	case DeprovisionMachines:
		go n.release(ctx, e.Machines)
	case ListMachines:
		go n.list(ctx, e.After)
	case ReadMachineTypes:
		go n.flavors(ctx)
	case StopNode:
		select {
		case n.stop <- e.Err:
		default: // it stops already
		}
	}
}

// note keeps the health and the counters of the state service.
func (n *Node) note(err error) error {
	var conflict *statestore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, statestore.ErrLeaseNotFound):
		n.health.stateOK(n.clock.Now())
	case errors.Is(err, statestore.ErrThrottled):
		n.met.Throttled.Inc()
		n.log.Warn("state service throttles us")
	case errors.Is(err, statestore.ErrOutcomeUnknown):
		n.met.UncertainOutcomes.Inc()
	}
	return err
}

func (n *Node) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// do sends a direct command to a worker.
func (n *Node) do(ctx context.Context, e SendCommands) {
	done := CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch}
	n.doing <- struct{}{}
	defer func() { <-n.doing }()
	if body, err := fleet.EncodeDirectCommands(e.Epoch, e.Session, e.Commands); err == nil {
		done.Heartbeat, err = n.sendDo(ctx, e.Addr, body)
		if err != nil {
			n.log.Debug("direct command not answered", "machine", e.Machine, "epoch", e.Epoch, "err", err)
		}
	}
	n.post(ctx, done)
}

func (n *Node) sendDo(ctx context.Context, addr string, body []byte) (*fleet.Heartbeat, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	status, data, err := wire.Do(n.worker, req, 4*fleet.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("status %d", status)
	}
	return fleet.DecodeHeartbeat(data)
}

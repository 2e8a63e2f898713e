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
	case ReplyReport:
		e.Ticket.(chan ReplyReport) <- e
	case ReplyAsk:
		e.Ticket.(chan ReplyAsk) <- e
	case ReplyPeer:
		e.Ticket.(chan ReplyPeer) <- e
	case ReplyQuota:
		e.Ticket.(chan quota.AllocationResponse) <- e.Answer
	case ReplyQuotas:
		e.Ticket.(chan ReplyQuotas) <- e
	case ReadQuota:
		go n.readQuota(ctx, e.Epoch)
	case DoLead:
		go n.doLead(ctx, e.Effect)
	case LoadAll:
		go n.loadAll(ctx, e.Epoch)
	case ReadJob:
		go n.readJob(ctx, e.Job)
	case Commit:
		go n.commit(ctx, e)
	case Do:
		go n.do(ctx, e)
	case CallHire:
		go n.hire(ctx, e)
	case CallRelease:
		go n.release(ctx, e.Machines)
	case CallList:
		go n.list(ctx, e.Since)
	case CallFlavors:
		go n.flavors(ctx)
	case Stop:
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
		n.met.Uncertain.Inc()
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
func (n *Node) do(ctx context.Context, e Do) {
	done := DoDone{Machine: e.Machine, Epoch: e.Epoch}
	n.doing <- struct{}{}
	defer func() { <-n.doing }()
	if body, err := fleet.EncodeDirectCommands(e.Epoch, e.Session, e.Orders); err == nil {
		done.Report, err = n.sendDo(ctx, e.Addr, body)
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

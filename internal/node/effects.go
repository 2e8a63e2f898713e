package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"badgerbay/internal/controller"

	"badgerbay/internal/fleet"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/wire"
)

const (
	commandTimeout         = 3 * time.Second
	uncertainRetryInterval = 150 * time.Millisecond
	watchHoldTime          = 5 * time.Second
	watchPause             = 250 * time.Millisecond
)

// execute starts an effect. Answers leave at once; calls run beside the actor
// and post what comes of them.
func (n *Node) execute(ctx context.Context, e controller.Effect) {
	switch e := e.(type) {
	case controller.Reply:
		e.Deliver()
	case controller.ReadQuotaRecords:
		go n.readQuotaRecords(ctx, e.Epoch)
	case controller.ElectionEffect:
		go n.executeElection(ctx, e.Effect)
	case controller.ReadRecords:
		go n.loadRecords(ctx, e.Epoch)
	case controller.ReadJobRecord:
		go n.readJob(ctx, e.Job)
	case controller.CommitTransaction:
		go n.commit(ctx, e)
	case controller.SendCommands:
		go n.sendCommands(ctx, e)
	case controller.ProvisionMachines:
		go n.provision(ctx, e)
	case controller.DeprovisionMachines:
		go n.deprovision(ctx, e.Machines)
	case controller.ListMachines:
		go n.listMachines(ctx, e.After)
	case controller.ReadMachineTypes:
		go n.readMachineTypes(ctx)
	case controller.StopNode:
		select {
		case n.fatal <- e.Err:
		default: // it stops already
		}
	}
}

// noteStoreResult keeps the health and the counters of the state service.
func (n *Node) noteStoreResult(err error) error {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, kvstore.ErrLeaseNotFound):
		n.health.noteStoreAnswer(n.clock.Now())
	case errors.Is(err, kvstore.ErrThrottled):
		n.metrics.Throttled.Inc()
		n.log.Warn("state service throttles us")
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		n.metrics.UncertainOutcomes.Inc()
	}
	return err
}

func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendCommands sends a direct command to a worker.
func (n *Node) sendCommands(ctx context.Context, e controller.SendCommands) {
	done := controller.CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch}
	n.commandSlots <- struct{}{}
	defer func() { <-n.commandSlots }()
	if body, err := fleet.EncodeDirectCommands(e.Epoch, e.Session, e.Commands); err == nil {
		done.Heartbeat, err = n.postCommands(ctx, e.Addr, body)
		if err != nil {
			n.log.Debug("direct command not answered", "machine", e.Machine, "epoch", e.Epoch, "err", err)
		}
	}
	n.enqueue(ctx, done)
}

func (n *Node) postCommands(ctx context.Context, addr string, body []byte) (*fleet.Heartbeat, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	status, data, err := wire.Do(n.workerClient, req, 4*fleet.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("status %d", status)
	}
	return fleet.DecodeHeartbeat(data)
}

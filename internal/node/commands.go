package node

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/fleet"
	"badgerbay/internal/wire"
)

// commandTimeout bounds a direct command, including its response.
const commandTimeout = 3 * time.Second

// commandSender sends direct commands to workers. It limits the commands in flight to the sockets reserved for them.
type commandSender struct {
	*environment
	core   *coreActor
	client *http.Client
	slots  chan struct{} // semaphore: one element per command in flight
}

func newCommandSender(env *environment, core *coreActor, transport http.RoundTripper) *commandSender {
	return &commandSender{
		environment: env,
		core:        core,
		client:      &http.Client{Transport: transport, Timeout: commandTimeout},
		slots:       make(chan struct{}, socketShare(env.settings, commandSocketShare)),
	}
}

// send sends commands to a worker and posts the heartbeat of its response, or nil if it failed, to the core.
func (s *commandSender) send(ctx context.Context, e controller.SendCommands) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.slots }()
	heartbeat, err := s.exchange(ctx, e)
	if err != nil {
		s.log.Debug("direct command failed", "machine", e.Machine, "epoch", e.Epoch, "err", err)
	}
	s.core.post(ctx, controller.CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch, Heartbeat: heartbeat})
}

// exchange sends the commands and returns the heartbeat in the worker's response. A worker that rejects the commands of
// an earlier leader responds with status 409 and also includes a heartbeat.
func (s *commandSender) exchange(ctx context.Context, e controller.SendCommands) (*fleet.Heartbeat, error) {
	body, err := fleet.EncodeDirectCommands(e.Epoch, e.Session, e.Commands)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr+"/do", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("commands for %s: %w", e.Addr, err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	status, data, err := wire.Do(s.client, req, 4*fleet.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("commands for %s: status %d", e.Addr, status)
	}
	return fleet.DecodeHeartbeat(data)
}

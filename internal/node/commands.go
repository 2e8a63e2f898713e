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

// commandTimeout bounds a direct command, its answer included.
const commandTimeout = 3 * time.Second

// commandSender sends direct commands to workers, no more at a time than there are
// sockets for.
type commandSender struct {
	*environment
	core   *coreActor
	client *http.Client
	slots  chan struct{} // holds one for each command under way
}

func newCommandSender(env *environment, core *coreActor, transport http.RoundTripper) *commandSender {
	return &commandSender{
		environment: env,
		core:        core,
		client:      &http.Client{Transport: transport, Timeout: commandTimeout},
		slots:       make(chan struct{}, socketShare(env.settings, commandSocketShare)),
	}
}

// send sends commands to a worker and tells the core what it answered.
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

// exchange returns the heartbeat with which the worker answers. One that refuses the
// commands of an earlier leader answers with 409 and a heartbeat as well.
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

package fleet

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// maxCommands bounds the commands in one message, so that it stays well below
	// MaxMessageBytes.
	maxCommands = 400
	// maxUnansweredCommands is how many commands in a row a machine may leave unanswered
	// before it gets no task: nothing may reach it although its heartbeats arrive. Guards
	// against placing on such a machine again in each of its sessions.
	maxUnansweredCommands = 2
	// unansweredCommandWindow is how long that counts: the machine may be reached again.
	unansweredCommandWindow = time.Minute
)

// ScheduleCommand asks for a direct command to the machine.
func (f *Fleet) ScheduleCommand(id ident.MachineID) {
	if m := f.machines[id]; m != nil {
		f.commandsDue[m] = struct{}{}
	}
}

// ClaimDueCommands returns the machines that a direct command is due to, sorted by ID, and
// marks them as being sent one.
func (f *Fleet) ClaimDueCommands() []*Machine {
	var claimed []*Machine
	for m := range f.commandsDue {
		if m.Up && m.acceptsCommand() {
			delete(f.commandsDue, m)
			m.commandInFlight = true
			claimed = append(claimed, m)
		}
	}
	return sortByID(claimed)
}

// acceptsCommand tells whether a direct command can be sent to the machine now.
func (m *Machine) acceptsCommand() bool { return !m.commandInFlight && m.Addr != "" }

// ClaimProbes returns the machines that have missed a heartbeat, and those not confirmed
// that have sent one. It marks them as being sent a command: an empty one, whose answer
// shows that they live.
func (f *Fleet) ClaimProbes(now clock.Instant) []*Machine {
	var claimed []*Machine
	for _, m := range f.Machines() {
		if !m.Up || !m.acceptsCommand() {
			continue
		}
		unconfirmed := !m.Confirmed && m.unansweredCommands < maxUnansweredCommands
		if unconfirmed || f.missedHeartbeat(now, m) && now.Sub(m.lastProbeAt) > f.timing.HeartbeatInterval/2 {
			m.commandInFlight, m.lastProbeAt = true, now
			claimed = append(claimed, m)
		}
	}
	return claimed
}

// missedHeartbeat tells whether the machine's last sign of life is older than the interval
// and what a heartbeat may be late by.
func (f *Fleet) missedHeartbeat(now clock.Instant, m *Machine) bool {
	return now.Sub(m.LastContact) > f.timing.HeartbeatInterval*7/5
}

// ClaimHeartbeatRequests returns up to limit machines that this leader has not heard from
// and that were not asked before. It marks them as being sent a command: the answer
// carries the status of a heartbeat.
func (f *Fleet) ClaimHeartbeatRequests(limit int) []*Machine {
	var claimed []*Machine
	for _, m := range f.Machines() {
		if len(claimed) == limit {
			break
		}
		if m.Up || m.heartbeatRequested || !m.acceptsCommand() || m.Failed || m.Deprovisioning {
			continue
		}
		m.commandInFlight, m.heartbeatRequested = true, true
		claimed = append(claimed, m)
	}
	return claimed
}

// FinishCommand notes that a direct command was answered, or given up.
func (f *Fleet) FinishCommand(now clock.Instant, id ident.MachineID, answered bool) {
	m := f.machines[id]
	if m == nil {
		return
	}
	m.commandInFlight = false
	if answered {
		m.unansweredCommands = 0
		return
	}
	m.unansweredCommands++
	m.lastUnansweredAt = now
}

// Commands returns what the machine is due: stops, then starts, then, if includeForgets is
// set, exits to forget, each sorted by task. Repeating any command is harmless: starts and
// stops name an attempt, and an exit is forgotten only when no copy of its start command
// can still be under way.
func (f *Fleet) Commands(m *Machine, includeForgets bool) []Command {
	var stops, starts, forgets []Command
	for _, p := range m.placements {
		command := Command{Task: p.ID(), Attempt: p.Attempt}
		switch {
		case p.State == jobs.PlacementEnded:
			if includeForgets && m.canForget(p) {
				command.Kind = CommandForget
				forgets = append(forgets, command)
			}
		case p.Stopping:
			if p.State != jobs.PlacementCheckpointing || p.GracePeriod == 0 {
				command.Kind, command.GracePeriod = CommandStop, p.GracePeriod
				stops = append(stops, command)
			}
		case p.State == jobs.PlacementPending && p.StartAllowed && p.Session == m.Session:
			p.FencingToken = f.epoch
			command.Kind = CommandStart
			starts = append(starts, command)
		}
	}
	for key, status := range m.orphans {
		if status.State != TaskExited {
			stops = append(stops, Command{Kind: CommandStop, Task: key.task, Attempt: key.attempt})
		}
	}
	commands := slices.Concat(sortByTask(stops), sortByTask(starts), sortByTask(forgets))
	return commands[:min(len(commands), maxCommands)]
}

func sortByTask(commands []Command) []Command {
	slices.SortFunc(commands, func(a, b Command) int {
		return placementKey{a.Task, a.Attempt}.compare(placementKey{b.Task, b.Attempt})
	})
	return commands
}

// canForget tells whether the worker may forget the exit of an ended placement: its
// meaning is stored, and the worker has seen a higher fencing token than any start command
// of the attempt was sent under. Late copies of the command are refused from then on;
// before, the exit is a tombstone that keeps such a copy from running the task again.
func (m *Machine) canForget(p *jobs.Placement) bool {
	return p.Job.Stored.Seq >= p.EndSeq && m.FencingToken > p.FencingToken
}

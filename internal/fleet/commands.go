package fleet

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// maxCommands limits the number of commands in one message, so that it stays well below MaxMessageBytes.
	maxCommands = 400
	// maxUnansweredCommands is the number of consecutive unanswered commands after which a machine gets no tasks: it
	// may be unreachable although its heartbeats arrive. The count is kept across sessions, because tasks would
	// otherwise be placed on such a machine again in each new session.
	maxUnansweredCommands = 2
	// unansweredCommandWindow is the time for which unanswered commands count: afterwards the machine may be reachable
	// again.
	unansweredCommandWindow = time.Minute
)

// ScheduleCommand marks a direct command to the machine as due.
func (f *Fleet) ScheduleCommand(id ident.MachineID) {
	if m := f.machines[id]; m != nil {
		f.commandsDue[m] = struct{}{}
	}
}

// ClaimDueCommands returns the machines to which a direct command is due and can be sent, sorted by ID, and marks a
// command to each of them as in flight.
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

// acceptsCommand reports whether a direct command can be sent to the machine now.
func (m *Machine) acceptsCommand() bool { return !m.commandInFlight && m.Addr != "" }

// ClaimProbes returns the machines that have missed a heartbeat, and the unconfirmed machines that have sent one. It
// marks a command to each of them as in flight: an empty one, whose response shows that the machine is alive.
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

// missedHeartbeat reports whether the last contact with the machine is older than the heartbeat interval plus 40%, the
// tolerated delay of a heartbeat.
func (f *Fleet) missedHeartbeat(now clock.Instant, m *Machine) bool {
	return now.Sub(m.LastContact) > f.timing.HeartbeatInterval*7/5
}

// ClaimHeartbeatRequests returns up to limit machines that are not up, and from which no heartbeat was requested
// before. It marks a command to each of them as in flight: the response carries the same status as a heartbeat.
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

// FinishCommand records that a direct command was answered or abandoned.
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

// Commands returns the commands to send to the machine now: stops, then starts, then, if includeForgets is set,
// forgets, each group sorted by task. A placement whose start is due is marked as sent: its fencing token becomes the
// leader's epoch. Every command can be repeated safely: starts and stops name an attempt, and an exit is forgotten only
// when no copy of its start command can still be executed.
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

// canForget reports whether the worker may delete its record of the exit of an ended placement. Two conditions must
// hold:
//  1. The result of the exit is stored.
//  2. The worker has seen a higher fencing token than any under which a start command of the attempt was sent. From
//     then on, it refuses delayed copies of that command.
//
// Until then, the record is a tombstone that prevents such a copy from running the task again.
func (m *Machine) canForget(p *jobs.Placement) bool {
	return p.Job.Stored.Seq >= p.EndSeq && m.FencingToken > p.FencingToken
}

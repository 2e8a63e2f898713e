package fleet

import (
	"sort"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// StopPlacement tells a placement to stop, saving first if it has leave to. One whose
// launch has never left is over at once: it is never sent again.
func (f *Fleet) StopPlacement(now clock.Instant, p *jobs.Placement, leave time.Duration) {
	if p.State == jobs.PlacementEnded || p.Stopping && leave >= p.GracePeriod {
		return
	}
	m := f.machines[p.Machine]
	if !p.Stopping {
		p.StopRequestedAt = now
		if m != nil {
			m.load.Stopping++
		}
	}
	p.Stopping, p.GracePeriod = true, leave
	if p.State == jobs.PlacementPending && p.FencingToken == 0 {
		f.Retract(now, p)
		return
	}
	f.ScheduleCommand(p.Machine)
}

// ScheduleCommand asks for a direct command to the machine.
func (f *Fleet) ScheduleCommand(id ident.MachineID) {
	if m := f.machines[id]; m != nil {
		f.commandsDue[m] = struct{}{}
	}
}

// ClaimDueCommands returns the machines that a direct command is due to, and marks them
// as being sent one.
func (f *Fleet) ClaimDueCommands() []*Machine {
	var out []*Machine
	for m := range f.commandsDue {
		if !m.commandInFlight && m.Up && m.Addr != "" {
			delete(f.commandsDue, m)
			m.commandInFlight = true
			out = append(out, m)
		}
	}
	return sortByID(out)
}

// ClaimProbes returns the machines that have missed a report, and those that have
// reported and that nothing vouches for, and marks them as being sent a command:
// an empty one, whose answer shows that they live.
func (f *Fleet) ClaimProbes(now clock.Instant) []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.Up || m.commandInFlight || m.Addr == "" {
			continue
		}
		missed := now.Sub(m.LastContact) > f.timing.HeartbeatInterval*7/5 && now.Sub(m.lastProbe) > f.timing.HeartbeatInterval/2
		if missed || !m.Confirmed && m.unansweredCommands < maxUnansweredCommands {
			m.commandInFlight, m.lastProbe = true, now
			out = append(out, m)
		}
	}
	return out
}

// ClaimHeartbeatRequests returns up to most machines that have not reported to this leader and were
// not asked to, and marks them as being sent a command: the answer is a report.
func (f *Fleet) ClaimHeartbeatRequests(most int) []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if len(out) == most {
			break
		}
		if m.Up || m.commandInFlight || m.heartbeatRequested || m.Addr == "" || m.Failed || m.Deprovisioning {
			continue
		}
		m.commandInFlight, m.heartbeatRequested = true, true
		out = append(out, m)
	}
	return out
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
	m.lastUnanswered = now
}

// Commands are the commands the machine is due: halts, launches and, in the
// answer to a report, reaps. Repeating any of them is harmless: launches and
// halts name an attempt, and an exit is reaped only when no copy of its launch
// can still be under way.
func (f *Fleet) Commands(now clock.Instant, m *Machine, reaps bool) []Command {
	var halts, launches, rest []Command
	for _, p := range m.placements {
		switch {
		case p.State == jobs.PlacementEnded:
			if reaps && f.canForget(m, p) {
				rest = append(rest, Command{Kind: CommandForget, Task: p.ID(), Attempt: p.Attempt})
			}
		case p.Stopping:
			if p.State != jobs.PlacementCheckpointing || p.GracePeriod == 0 {
				halts = append(halts, Command{Kind: CommandStop, Task: p.ID(), Attempt: p.Attempt, GracePeriod: p.GracePeriod})
			}
		case p.State == jobs.PlacementPending && p.StartAllowed && p.Session == m.Session:
			p.FencingToken = f.epoch
			launches = append(launches, Command{Kind: CommandStart, Task: p.ID(), Attempt: p.Attempt})
		}
	}
	for k, e := range m.strays {
		if e.State != TaskExited {
			halts = append(halts, Command{Kind: CommandStop, Task: k.task, Attempt: k.attempt})
		}
	}
	return joinCommands(sortByTask(halts), sortByTask(launches), sortByTask(rest))
}

func sortByTask(o []Command) []Command {
	sort.Slice(o, func(a, b int) bool {
		return lessTaskID(placementKey{o[a].Task, o[a].Attempt}, placementKey{o[b].Task, o[b].Attempt})
	})
	return o
}

func joinCommands(lists ...[]Command) []Command {
	var out []Command
	for _, l := range lists {
		out = append(out, l...)
	}
	if len(out) > maxCommands {
		out = out[:maxCommands]
	}
	return out
}

// canForget: the meaning of the exit is stored, and the worker has seen a
// higher token than any launch of the attempt was sent under. Late copies of
// the launch are refused from then on; before, the exit is a tombstone that
// keeps such a copy from running the task a second time.
func (f *Fleet) canForget(m *Machine, p *jobs.Placement) bool {
	return p.Job.StoredSeq >= p.EndSeq && m.FencingToken > p.FencingToken
}

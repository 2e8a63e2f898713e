// Package quota lets any node admit jobs of a team without asking the leader, while the team's limit holds across all
// nodes at every instant. It contains the state machines of both sides and the records through which they coordinate:
// the leader's Allocator allocates parts of a team's limit to holders, in one record for each team, and a Holder
// reserves parts of its allocations for jobs, in one record of its own. docs/quota.md explains why the limit holds.
// The package does no I/O: callers execute its transactions and send its requests, and the scheduler places the
// tasks.
package quota

// Package quota lets any node admit work of a team without asking the leader, while the
// team's limit holds across all of them at every instant. It owns both sides' state
// machines and the records between them: the leader's Allocator allocates parts of a
// team's limit to holders, in one record for each team, and a Holder reserves what it
// was allocated for jobs, in one record of its own; docs/quota.md has the argument. It
// does no I/O: callers carry out its transactions and requests, and the scheduler places
// the work.
package quota

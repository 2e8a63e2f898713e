# The default policy of badgerbay. An operator's script, given with --policy,
# sets any of these names anew; what it leaves out stays as it is here.
# Durations are in seconds.

# Leadership: life of the lease, time between renewals, and time between reads
# of the leader key by a node that does not lead. These are upper bounds: where the
# leases of the workers are short, they are shortened so that a successor leads
# before those end.
lease_s = 6
renew_s = 1.5
leader_poll_s = 0.5

# Scheduling rounds: least time between two, slots in the ring of records, and
# how long a checkpoint may lag before it is folded.
round_gap_s = 0.02
ring_slots = 32
fold_age_s = 0.5

# A machine that takes more than so many times its usual boot time is not waited
# for any longer.
boot_late = 1.6

# Idle machines: deprovisioned after this long without a task, but no later than
# so many times what a machine of the type takes to boot, and no sooner than the
# least.
idle_return_s = 120
idle_boots = 2
idle_least_s = 25

# A machine whose few tasks fit on others is drained and deprovisioned; at most
# one every so often.
vacate_every_s = 5

# How long a machine type of which the cloud had none is not requested again.
hire_backoff_s = 15

# How many times its usual boot time a machine may take, and at least how long,
# before it is given up.
boot_factor = 4
boot_floor_s = 60

# How long a worker may be silent before its machine is deprovisioned, and never
# less than two heartbeat intervals.
silent_release_s = 6

# How often the epoch is advanced, at most, to make it safe to forget exits.
reseal_s = 45

# How long a job waits before it preempts work of lower priority; prod and
# guaranteed work does not wait.
preempt_after_s = 10

# Room kept free for classes that must start faster than a machine boots, in
# tasks.
spare_tasks = 5

# The share of the teams' guarantees that is kept as machines, in use or idle,
# and for how long after a team's last work.
guarantee_share = 1.0
guarantee_hold_s = 30

# Whether tasks that may use spot machines go there first.
prefer_spot = True

# The default policy of badgerbay. An operator's script, given with --policy, may
# override any of these settings; a setting that it omits keeps the value below.
# Durations are in seconds.

# Leadership: TTL of the leader's lease, time between renewals, and time between
# reads of the leader key by a node that is not the leader. These are upper bounds:
# if the leases of the workers are short, these times are shortened so that a
# successor leads before the workers' leases expire.
lease_s = 6
renew_s = 1.5
leader_poll_s = 0.5

# Scheduling rounds: minimum time between two rounds, number of round records that
# are kept, and how long a job's checkpoint may lag before it is written, in a
# transaction that stores the checkpoints of several jobs.
round_gap_s = 0.02
ring_slots = 32
fold_age_s = 0.5

# Pending work no longer waits for a machine whose boot takes longer than this
# multiple of its usual boot time.
boot_late = 1.6

# Idle machines: a machine is deprovisioned after idle_return_s without a task, but
# no later than idle_boots times the boot time of its type, and no sooner than
# idle_least_s.
idle_return_s = 120
idle_boots = 2
idle_least_s = 25

# A machine whose few tasks fit on other machines is drained and deprovisioned.
# Minimum time between two such drains.
vacate_every_s = 5

# How long a machine type is not requested again after the cloud had no machine of
# that type.
hire_backoff_s = 15

# Boot timeout, after which a machine is deprovisioned: a multiple of its usual boot
# time, and a lower bound of the timeout.
boot_factor = 4
boot_floor_s = 60

# How long a worker may send no heartbeat before its machine is deprovisioned. The
# timeout is never less than two heartbeat intervals.
silent_release_s = 6

# Minimum time between two advances of the epoch that only make it safe to discard
# the tombstones of exited tasks: workers reject commands under an older epoch, so a
# delayed start command can't run such a task again.
reseal_s = 45

# How long a job waits before it preempts work of lower priority; prod and
# guaranteed work does not wait.
preempt_after_s = 10

# Number of tasks for which capacity is kept free, for classes whose jobs must start
# faster than a machine boots.
spare_tasks = 5

# The share of the teams' guarantees for which machines, busy or idle, are kept, and
# for how long after a team last had work.
guarantee_share = 1.0
guarantee_hold_s = 30

# Whether tasks that may use spot machines are placed there first.
prefer_spot = True

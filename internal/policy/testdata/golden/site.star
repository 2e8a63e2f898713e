# Every setting of a site, and both features.
_minute = 60

def half(x):
    return x / 2

lease_s = 8
renew_s = half(4)
leader_poll_s = 0.75
round_gap_s = 0.03
fold_age_s = 0.6
ring_slots = 48
boot_late = 1.7
idle_return_s = 2 * _minute
idle_boots = 3
idle_least_s = 26
vacate_every_s = 6
hire_backoff_s = 16
boot_factor = 5
boot_floor_s = 61
silent_release_s = 7
reseal_s = 46
preempt_after_s = 11
spare_tasks = 6
guarantee_share = 0.5
guarantee_hold_s = 31
prefer_spot = False
warm_standby = {"heartbeat_s": 1, "takeover_s": 3}
team_quotas = {}

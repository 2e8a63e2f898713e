# The operators' script that enables features of badgerbay. Pass it to a node with
#
#     badgerbay --policy deploy/run.star --config FILE
#
# A section enables a feature, and None disables it. A setting that a section omits has
# its default. Any setting of the policy may be set here as well. `badgerbay check` with
# the same arguments reports invalid settings. See docs/operations.md.

# A node that is not the leader replicates every decision of the leader, and takes over
# the leadership when the leader's heartbeats stop; see docs/standby.md.
warm_standby = {
    "heartbeat_s": 0.8,
    "takeover_s": 2.6,
}

# A node that is not the leader admits work within the share of the teams' limits that
# the leader has allocated to it; see docs/quota.md. {} enables it.
team_quotas = None

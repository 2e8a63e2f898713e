# The operators' script of badgerbay's features: give it to a node with
#
#     badgerbay --policy deploy/run.star --config FILE
#
# A section enables a feature, and None disables it. What a section leaves out has its
# default. Any setting of the policy may be set here as well. `badgerbay check` with
# the same arguments names what can't be used. See docs/operations.md.

# A node that does not lead follows every decision of the leader, and takes over
# when its heartbeats cease; see docs/standby.md.
warm_standby = {
    "heartbeat_s": 0.8,
    "takeover_s": 2.6,
}

# A node that does not lead admits work within what the leader has allotted to it of
# the teams' limits; see docs/quota.md. {} enables it.
team_quotas = None

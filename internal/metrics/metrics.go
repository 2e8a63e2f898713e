// Package metrics defines the Prometheus metrics of a node. It owns their names, labels and help
// texts, which operators build alerts on. The packages that set the metrics determine what they count.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"badgerbay/internal/connlimit"
	"badgerbay/internal/standby"
)

// namespace is the prefix of every metric name.
const namespace = "badgerbay"

// Metrics holds the metrics of one node and the registry they are in. It is safe for concurrent use.
type Metrics struct {
	Registry               *prometheus.Registry
	EpochChanges           prometheus.Counter
	CASConflicts           prometheus.Counter
	Recoveries             prometheus.Counter
	Rounds                 prometheus.Counter
	CheckpointTransactions prometheus.Counter
	StartRefusals          prometheus.Counter
	Preemptions            prometheus.Counter
	Throttled              prometheus.Counter
	UncertainOutcomes      prometheus.Counter
	RelayedHeartbeats      prometheus.Counter
	DelegatedRenewals      prometheus.Counter
	Stalls                 prometheus.Counter
	MalformedBatches       prometheus.Counter
	OversizedRecords       prometheus.Counter
	UnreadableRecords      prometheus.Counter
	OutdatedNodes          prometheus.Gauge
	UserResponses          *prometheus.CounterVec
	HeartbeatResponses     *prometheus.CounterVec
	CheckpointAge          prometheus.Gauge
	PendingPlacements      prometheus.Gauge
	UncertainProvisions    prometheus.Gauge
	QueuedTasks            prometheus.Gauge
	Machines               prometheus.Gauge
	QuarantinedMachines    prometheus.Gauge
	TaskFailures           prometheus.Counter
	FreeRoundSlots         prometheus.Gauge
	Tombstones             prometheus.Gauge
	Epoch                  prometheus.Gauge
	WarmFailovers          prometheus.Counter
	ColdFailovers          prometheus.Counter
	StandbyReady           prometheus.Gauge
	StandbyLag             prometheus.Gauge
	StandbyLagRecords      prometheus.Gauge
	StandbyRecords         prometheus.Gauge
	StandbyBytes           prometheus.Gauge
}

// New returns metrics in a new registry.
func New() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
		m.Registry.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
		m.Registry.MustRegister(g)
		return g
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
		m.Registry.MustRegister(c)
		return c
	}
	m.EpochChanges = counter("epoch_changes_total", "Epochs gained, lost or advanced by this node.")
	m.CASConflicts = counter("cas_conflicts_total", "Checkpoint writes whose revision did not match.")
	m.Recoveries = counter("recoveries_total", "Failovers to this node that were reconciled.")
	m.Rounds = counter("rounds_total", "Scheduling rounds recorded.")
	m.CheckpointTransactions = counter("folds_total", "Folds of checkpoints written.")
	m.StartRefusals = counter("launch_refusals_total", "Task starts that workers refused.")
	m.Preemptions = counter("preemptions_total", "Tasks preempted or stopped to drain a machine.")
	m.Throttled = counter("throttled_total", "Requests that the state service or the cloud throttled.")
	m.UncertainOutcomes = counter("uncertain_operations_total", "Requests whose outcome had to be read back.")
	m.MalformedBatches = counter("bad_batches_total", "Relay batches and replies of other nodes that could not be decoded.")
	m.UnreadableRecords = counter("unreadable_records_total", "Records that a leader could not decode.")
	m.OversizedRecords = counter("too_large_total", "Records and transactions that were too large for the state service.")
	m.OutdatedNodes = gauge("nodes_behind", "Nodes that have not reported this schema version lately; at a leader.")
	m.Stalls = counter("stood_still_total", "Stalls of this node of half a second or more.")
	m.DelegatedRenewals = counter("kept_reports_total", "Heartbeats answered by a delegated grant while this node was isolated.")
	m.RelayedHeartbeats = counter("relayed_reports_total", "Heartbeats of isolated workers answered through the state service.")
	m.UserResponses = vec("user_answers_total", "Responses to users by status code.", "code")
	m.HeartbeatResponses = vec("report_answers_total", "Responses to heartbeats by status code.", "code")
	m.CheckpointAge = gauge("checkpoint_age_seconds", "Age of the oldest change that is in no checkpoint.")
	m.PendingPlacements = gauge("pending_placements", "Placements recorded that no heartbeat has shown.")
	m.UncertainProvisions = gauge("uncertain_hires", "Provision requests whose outcome is unknown.")
	m.QueuedTasks = gauge("queued_tasks", "Tasks waiting for a machine.")
	m.Machines = gauge("machines", "Machines known.")
	m.QuarantinedMachines = gauge("quarantined_machines", "Machines that get no tasks because tasks failed on them; at a leader.")
	m.TaskFailures = counter("task_failures_total", "Tasks that exited with an error.")
	m.FreeRoundSlots = gauge("round_slots_free", "Free slots of the ring of round records.")
	m.Tombstones = gauge("tombstones", "Exits of tasks that wait to be forgotten.")
	m.Epoch = gauge("epoch", "Epoch of this node, 0 if it does not lead.")
	m.WarmFailovers = counter("warm_takeovers_total", "Failovers to this node by its replica of the records.")
	m.ColdFailovers = counter("cold_takeovers_total", "Failovers to this node, as a standby, that had to read all records.")
	m.StandbyReady = gauge("standby_ready", "1 while this node's replica of the records is complete.")
	m.StandbyLag = gauge("standby_lag_seconds", "Time since the last complete sync of the replica.")
	m.StandbyLagRecords = gauge("standby_lag_records", "Changes that the last sync found and the replica lacked.")
	m.StandbyRecords = gauge("standby_records", "Records in the replica.")
	m.StandbyBytes = gauge("standby_bytes", "Bytes of the records in the replica.")
	m.Registry.MustRegister(collectors.NewGoCollector()) // threads, goroutines, memory
	return m
}

// RegisterConnections registers the metrics of the listener's connections.
func (m *Metrics) RegisterConnections(limited *connlimit.Listener) {
	register := func(name, help string, value func(connlimit.Stats) int) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value(limited.Stats())) }))
	}
	register("connections", "Connections of workers, users and those who have said nothing.", func(s connlimit.Stats) int { return s.Open })
	register("worker_connections", "Connections of workers.", func(s connlimit.Stats) int { return s.Workers })
	register("user_connections", "Connections of users and of the load balancer's probes.", func(s connlimit.Stats) int { return s.Users })
	register("connections_evicted", "Connections closed so far to make room for others.", func(s connlimit.Stats) int { return s.Evicted })
	register("connections_refused", "Connections closed so far for want of room.", func(s connlimit.Stats) int { return s.Rejected })
}

// ObserveStandby sets the gauges of the standby's replica from its status.
func (m *Metrics) ObserveStandby(s standby.Status) {
	ready := 0.0
	if s.State == standby.StateReady {
		ready = 1
	}
	m.StandbyReady.Set(ready)
	m.StandbyLag.Set(s.Lag.Seconds())
	m.StandbyLagRecords.Set(float64(s.LagRecords))
	m.StandbyRecords.Set(float64(s.Records))
	m.StandbyBytes.Set(float64(s.Bytes))
}

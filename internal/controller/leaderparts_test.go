package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"
)

// newTestEnvironment returns the environment of a leader, and its time.
func newTestEnvironment(t *testing.T) (*environment, clock.Instant) {
	t.Helper()
	core, now := newLeadingCore(t)
	core.effects = nil
	return core.environment, now
}

// takeEffects returns what was emitted since it was last called.
func (e *environment) takeEffects() []Effect {
	effects := e.effects
	e.effects = nil
	return effects
}

func TestJobTableReadsARecordOnceAtATime(t *testing.T) {
	env, _ := newTestEnvironment(t)
	table := newJobTable(env)
	for range 2 {
		table.readIfOutdated("wk-000001", 0)
	}
	want := []Effect{ReadJobRecord{Job: "wk-000001"}}
	if diff := cmp.Diff(want, env.takeEffects()); diff != "" {
		t.Errorf("two changes of a job (-want +got):\n%s", diff)
	}
	table.readCompleted("wk-000001")
	table.readIfOutdated("wk-000001", 0)
	if diff := cmp.Diff(want, env.takeEffects()); diff != "" {
		t.Errorf("a change after the read (-want +got):\n%s", diff)
	}
}

func TestJobTableAnswersOverdueCancellations(t *testing.T) {
	env, now := newTestEnvironment(t)
	table := newJobTable(env)
	var outcomes []api.QueryOutcome
	responder := ResponderFunc[JobReply](func(r JobReply) { outcomes = append(outcomes, r.Outcome) })
	table.addPendingCancel(now, "wk-000001", responder)
	table.addPendingCancel(now.Add(time.Second), "wk-000002", responder)
	table.answerOverdueCancellations(now.Add(cancelStoreTimeout - 1))
	if table.answerOverdueCancellations(now.Add(cancelStoreTimeout)); table.hasPendingCancels("wk-000001") || !table.hasPendingCancels("wk-000002") {
		t.Error("not just the overdue cancellation was answered")
	}
	table.abandonCancellations()
	for _, e := range env.takeEffects() {
		e.(Reply).Deliver()
	}
	if diff := cmp.Diff([]api.QueryOutcome{api.LeaderBusy, api.NoLeader}, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

func TestDeferredHeartbeatsAreRefusedWhenOverdue(t *testing.T) {
	env, now := newTestEnvironment(t)
	deferred := &deferredHeartbeats{environment: env}
	for i, id := range []ident.MachineID{"m1", "m2"} {
		deferred.add(now.Add(time.Duration(i)*time.Second), HeartbeatReceived{Heartbeat: &fleet.Heartbeat{Machine: id}})
	}
	deferred.refuseOverdue(now.Add(maxHeartbeatDeferral))
	if diff := cmp.Diff([]Effect{HeartbeatReply{Outcome: HeartbeatUnavailable}}, env.takeEffects()); diff != "" {
		t.Errorf("replies (-want +got):\n%s", diff)
	}
	if left := deferred.takeAll(); len(left) != 1 || left[0].received.Heartbeat.Machine != "m2" {
		t.Errorf("%+v wait on", left)
	}
	if again := deferred.takeAll(); again != nil {
		t.Errorf("%+v are taken twice", again)
	}
}

func TestProvisionerKeepsToTheCallRate(t *testing.T) {
	env, now := newTestEnvironment(t)
	p := newProvisioner(env, now)
	burst := int(cloudCallBurst(env.settings.Params.Cloud))
	p.deprovision("m1")
	for i := range 2 * burst {
		p.request(now, roundlog.Provision{Name: roundlog.ProvisionName(1, 1, i), Count: 1}, false)
	}
	p.sendDueCalls(now)
	effects := env.takeEffects()
	if len(effects) != burst {
		t.Errorf("%d calls at once, want %d", len(effects), burst)
	}
	if _, ok := effects[0].(DeprovisionMachines); !ok {
		t.Errorf("%T comes first, although a deprovision request is due", effects[0])
	}
	if p.mayRequest(now) {
		t.Error("a round may request machines although no call is left and many requests are pending")
	}
	p.sendDueCalls(now)
	if more := env.takeEffects(); len(more) != 0 {
		t.Errorf("%d calls beyond the rate", len(more))
	}
}

func TestEpochIsNotAdvancedWithoutNeed(t *testing.T) {
	env, now := newTestEnvironment(t)
	advance := newEpochAdvance(env, now)
	table := newJobTable(env)
	machines := fleet.New(fleetTiming(env), 77, now, table.get)
	for _, after := range []time.Duration{0, minEpochDuration, env.policy.EpochAdvanceInterval, time.Hour} {
		if advance.beginIfDue(now.Add(after), 77, table, machines) {
			t.Errorf("advanced after %v although no exit waits and no stop is stuck", after)
		}
	}
}

func TestSchemaAgreementLimitsChunks(t *testing.T) {
	env, _ := newTestEnvironment(t)
	schema := newSchemaAgreement(env)
	if jobValues, roundValues := schema.maxJobValues(), schema.maxRoundValues(); jobValues != 1 || roundValues != 1 {
		t.Errorf("a job takes %d values and a round %d before the nodes have agreed, want 1 each", jobValues, roundValues)
	}
	schema.limitsReduced(77)
	if jobValues, roundValues := schema.maxJobValues(), schema.maxRoundValues(); jobValues <= 1 || roundValues != 1 {
		t.Errorf("a job takes %d values and a round %d once limits are reduced, want several and 1", jobValues, roundValues)
	}
}

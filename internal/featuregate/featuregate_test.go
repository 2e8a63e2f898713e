package featuregate

import (
	"errors"
	"strings"
	"testing"
	"time"

	"badgerbay/internal/config"
)

// TestDecodeAppliesDefaults checks that a null section leaves its feature disabled, and that
// omitted settings of a section get their defaults.
func TestDecodeAppliesDefaults(t *testing.T) {
	off, err := Decode(map[string]any{"warm_standby": nil})
	if err != nil || off.WarmStandby != nil {
		t.Errorf("a section that is null: %+v, %v", off, err)
	}
	on, err := Decode(map[string]any{"warm_standby": map[string]any{"takeover_s": 3.5}})
	if err != nil {
		t.Fatal(err)
	}
	want := WarmStandby{HeartbeatInterval: defaultHeartbeatInterval, HeartbeatTTL: 3500 * time.Millisecond, PollInterval: defaultPollInterval, SyncInterval: defaultSyncInterval, MaxReplicaMB: defaultMaxReplicaMB}
	if *on.WarmStandby != want {
		t.Errorf("%+v, want %+v", *on.WarmStandby, want)
	}
}

// TestDecodeNamesFieldOfInvalidSetting checks that each invalid setting is reported on one
// line that begins with its field.
func TestDecodeNamesFieldOfInvalidSetting(t *testing.T) {
	for field, sections := range map[string]map[string]any{
		"cold_standby":             {"cold_standby": map[string]any{}},
		"warm_standby":             {"warm_standby": true},
		"warm_standby.takeover":    {"warm_standby": map[string]any{"takeover": 3.0}},
		"warm_standby.takeover_s":  {"warm_standby": map[string]any{"takeover_s": "soon"}},
		"warm_standby.heartbeat_s": {"warm_standby": map[string]any{"heartbeat_s": 0.0}},
		"warm_standby.replica_mb":  {"warm_standby": map[string]any{"replica_mb": -1.0}},
		"warm_standby.sync_s":      {"warm_standby": map[string]any{"sync_s": 1e9}},
		"warm_standby.poll_s":      {"warm_standby": map[string]any{"poll_s": []any{}}},
	} {
		t.Run(field, func(t *testing.T) {
			_, err := Decode(sections)
			var fieldErr *config.FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Field != field || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v: %v, want one line naming %s", sections, err, field)
			}
		})
	}
}

// TestCheckRejectsIncompatibleSettings checks that settings are rejected which conform to the
// schema but are incompatible with one another or with the deployment.
func TestCheckRejectsIncompatibleSettings(t *testing.T) {
	deployment := config.Params{StateService: config.State{WriteRPS: 20}, MachineLimits: config.Limits{MemoryMB: 98}}
	slowStore := deployment
	slowStore.StateService.Next = &config.StateLimits{WriteRPS: 8}
	for _, c := range []struct {
		field   string
		section map[string]any
		params  config.Params
	}{
		{"", map[string]any{}, deployment},
		{"takeover_s", map[string]any{"takeover_s": 2.0}, deployment},
		{"takeover_s", map[string]any{"heartbeat_s": 2.0}, deployment},
		{"poll_s", map[string]any{"poll_s": 1.0}, deployment},
		{"heartbeat_s", map[string]any{"heartbeat_s": 0.4}, deployment},
		{"heartbeat_s", map[string]any{}, slowStore},
		{"replica_mb", map[string]any{"replica_mb": 40.0}, deployment},
	} {
		features, err := Decode(map[string]any{"warm_standby": c.section})
		if err != nil {
			t.Fatal(err)
		}
		err = features.Check(c.params)
		var fieldErr *config.FieldError
		switch {
		case c.field == "" && err != nil:
			t.Errorf("the defaults are rejected: %v", err)
		case c.field != "" && (!errors.As(err, &fieldErr) || fieldErr.Field != "policy.warm_standby."+c.field):
			t.Errorf("%v: %v, want an error that names %s", c.section, err, c.field)
		}
	}
}

// Package policy reads the operators' own settings. They are a Starlark script that is
// evaluated once at startup, with a bounded number of execution steps, and then validated.
// The package owns the names, bounds and defaults of the settings. Package featuregate
// defines the sections of features, and package config the settings from the platform.
package policy

import (
	_ "embed"
	"errors"
	"os"
	"slices"
	"time"

	"go.starlark.net/starlark"

	"badgerbay/internal/config"
	"badgerbay/internal/featuregate"
)

//go:embed default.star
var defaultScript string

// Policy holds the operators' settings. The tags of a field give the name of the script's
// global variable and the bounds of its value. Durations are in seconds in the script.
type Policy struct {
	// LeaseTTL is the TTL of the leader's lease, LeaseRenewInterval the time between two
	// renewals, and LeaderPollInterval the time between two reads of the leader key by a
	// node that is not the leader. All three are upper bounds: they are shortened if the
	// leases of the workers are short.
	LeaseTTL           time.Duration `star:"lease_s" min:"2" max:"60"`
	LeaseRenewInterval time.Duration `star:"renew_s" min:"0.5" max:"20"`
	LeaderPollInterval time.Duration `star:"leader_poll_s" min:"0.1" max:"10"`

	// MinRoundInterval is the minimum time between two scheduling rounds, and RingSlots
	// the number of round records that are kept. MaxCheckpointDelay is how long a job's
	// checkpoint may lag before it is written, in a transaction that stores the
	// checkpoints of several jobs.
	MinRoundInterval   time.Duration `star:"round_gap_s" min:"0.005" max:"5"`
	MaxCheckpointDelay time.Duration `star:"fold_age_s" min:"0.05" max:"10"`
	RingSlots          int           `star:"ring_slots" min:"4" max:"256"`

	// A machine without a task is deprovisioned after IdleTimeout, but no later than
	// IdleBootFactor times the boot time of its type, and no sooner than MinIdleTimeout.
	IdleTimeout    time.Duration `star:"idle_return_s" min:"5" max:"3600"`
	MinIdleTimeout time.Duration `star:"idle_least_s" min:"1" max:"3600"`
	IdleBootFactor float64       `star:"idle_boots" min:"0" max:"100"`
	// MinDrainInterval is the minimum time between two drains of machines whose tasks fit on
	// other machines.
	MinDrainInterval time.Duration `star:"vacate_every_s" min:"1" max:"3600"`
	// ProvisionBackoff is how long a machine type is not requested again after the cloud
	// had no machine of that type.
	ProvisionBackoff time.Duration `star:"hire_backoff_s" min:"1" max:"600"`
	// A boot times out, and the machine is deprovisioned, after BootTimeoutFactor times the
	// usual boot time, and no sooner than MinBootTimeout. After LateBootFactor times the
	// usual boot time pending work no longer waits for the machine.
	BootTimeoutFactor float64       `star:"boot_factor" min:"1.5" max:"20"`
	LateBootFactor    float64       `star:"boot_late" min:"1" max:"20"`
	MinBootTimeout    time.Duration `star:"boot_floor_s" min:"1" max:"600"`
	// SilenceTimeout is how long a worker may go without sending a heartbeat before its
	// machine is deprovisioned.
	SilenceTimeout time.Duration `star:"silent_release_s" min:"5" max:"600"`

	// MinEpochAdvanceInterval is the minimum time between two advances of the epoch that only
	// make it safe to discard the tombstones of exited tasks: workers reject commands under
	// an older epoch, so a delayed start command can't run such a task again.
	MinEpochAdvanceInterval time.Duration `star:"reseal_s" min:"5" max:"600"`
	// PreemptionDelay is how long a job waits before it preempts work of lower priority.
	PreemptionDelay time.Duration `star:"preempt_after_s" min:"0" max:"600"`
	// SpareTasks is the number of tasks for which capacity is kept free, for classes whose
	// jobs must start faster than a machine boots.
	SpareTasks int `star:"spare_tasks" min:"0" max:"1000"`
	// GuaranteeShare is the share of the teams' guarantees for which machines are kept. They
	// are kept for GuaranteeHoldTime after a team last had work.
	GuaranteeShare    float64       `star:"guarantee_share" min:"0" max:"2"`
	GuaranteeHoldTime time.Duration `star:"guarantee_hold_s" min:"0" max:"3600"`
	// PreferSpot means that tasks which may use spot machines are placed there first.
	PreferSpot bool `star:"prefer_spot"`

	// Features holds the features that the script enables. Each has a section, which is a
	// dictionary; see package featuregate.
	Features featuregate.Features
}

// Default returns the embedded default policy.
func Default() (*Policy, error) { return Parse("default.star", defaultScript) }

// Load evaluates the script at path on top of the defaults. An empty path means the defaults
// alone. Every error is a *config.FieldError.
func Load(path string) (*Policy, error) {
	if path == "" {
		return Default()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fieldErrorf("script", "%w", err)
	}
	return Parse(path, string(data))
}

// Parse evaluates a script on top of the defaults. Every error is a *config.FieldError.
func Parse(name, script string) (*Policy, error) {
	p := new(Policy)
	if err := p.apply("default.star", defaultScript); err != nil {
		return nil, err
	}
	if err := p.apply(name, script); err != nil {
		return nil, err
	}
	if p.LeaseRenewInterval*2 > p.LeaseTTL {
		return nil, fieldErrorf("renew_s", "must be at most half of lease_s")
	}
	return p, nil
}

// apply evaluates a script and sets the settings that it assigns. Globals whose names begin
// with _ are private to the script, and so are functions unless they have the name of a
// setting.
func (p *Policy) apply(name, script string) error {
	globals, err := evaluate(name, script)
	if err != nil {
		return err
	}
	sections := map[string]any{}
	for _, key := range globals.Keys() {
		value := globals[key]
		if key[0] == '_' {
			continue
		}
		if slices.Contains(featuregate.SectionNames(), key) {
			if sections[key], err = jsonValue(value); err != nil {
				return fieldErrorf(key, "%w", err)
			}
			continue
		}
		s, known := settings()[key]
		if _, isFunction := value.(*starlark.Function); isFunction && !known {
			continue
		}
		if !known {
			return fieldErrorf(key, "is not a setting; known are %v", settingNames())
		}
		if err := s.set(p, value); err != nil {
			return err
		}
	}
	return p.setFeatures(sections)
}

// setFeatures sets the features from the sections of a script. If there are no sections, it
// keeps the features that were set before.
func (p *Policy) setFeatures(sections map[string]any) error {
	if len(sections) == 0 {
		return nil
	}
	features, err := featuregate.Decode(sections)
	if field := (*config.FieldError)(nil); errors.As(err, &field) {
		return fieldErrorf(field.Field, "%w", field.Err)
	}
	if err != nil {
		return fieldErrorf("features", "%w", err)
	}
	p.Features = features
	return nil
}

// fieldErrorf returns a FieldError for a setting of the script, or for the script itself.
func fieldErrorf(field, format string, args ...any) error {
	return config.FieldErrorf("policy."+field, format, args...)
}

// Package policy reads the operators' own settings: a Starlark script that is evaluated
// once at start, with its steps bounded, and checked. It owns the settings' names, bounds
// and defaults; what the sections of features mean is package featuregate's, and what
// the platform sets package config's.
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

// Policy holds the operators' settings. The tags name the globals of the script and
// bound their values; durations are in seconds there.
type Policy struct {
	// LeaseTTL is the life of the leader's lease, LeaseRenewInterval the time between
	// two renewals, and LeaderPollInterval that between two reads of the leader key by
	// a node that does not lead. All are upper bounds: where the leases of the workers
	// are short, they are shortened.
	LeaseTTL           time.Duration `star:"lease_s" min:"2" max:"60"`
	LeaseRenewInterval time.Duration `star:"renew_s" min:"0.5" max:"20"`
	LeaderPollInterval time.Duration `star:"leader_poll_s" min:"0.1" max:"10"`

	// MinRoundInterval is the least time between two scheduling rounds, MaxFoldDelay
	// how long a job's checkpoint may lag before it is folded, and RingSlots the number
	// of round records that are kept.
	MinRoundInterval time.Duration `star:"round_gap_s" min:"0.005" max:"5"`
	MaxFoldDelay     time.Duration `star:"fold_age_s" min:"0.05" max:"10"`
	RingSlots        int           `star:"ring_slots" min:"4" max:"256"`

	// A machine without a task is deprovisioned after IdleTimeout, but no later than
	// IdleBootFactor times what its type takes to boot, and no sooner than
	// MinIdleTimeout.
	IdleTimeout    time.Duration `star:"idle_return_s" min:"5" max:"3600"`
	MinIdleTimeout time.Duration `star:"idle_least_s" min:"1" max:"3600"`
	IdleBootFactor float64       `star:"idle_boots" min:"0" max:"100"`
	// DrainInterval is the least time between two machines that are drained because
	// their tasks fit on others.
	DrainInterval time.Duration `star:"vacate_every_s" min:"1" max:"3600"`
	// ProvisionBackoff is how long a machine type of which the cloud had none is not
	// requested again.
	ProvisionBackoff time.Duration `star:"hire_backoff_s" min:"1" max:"600"`
	// A machine is given up when it takes more than BootTimeoutFactor times its usual
	// boot time, and at least MinBootTimeout, to boot. After LateBootFactor times the
	// usual time work does not wait for it any longer.
	BootTimeoutFactor float64       `star:"boot_factor" min:"1.5" max:"20"`
	LateBootFactor    float64       `star:"boot_late" min:"1" max:"20"`
	MinBootTimeout    time.Duration `star:"boot_floor_s" min:"1" max:"600"`
	// SilenceTimeout is how long a worker may send no heartbeat before its machine is
	// deprovisioned.
	SilenceTimeout time.Duration `star:"silent_release_s" min:"5" max:"600"`

	// EpochAdvanceInterval is the least time between two advances of the epoch that
	// make it safe to forget exits.
	EpochAdvanceInterval time.Duration `star:"reseal_s" min:"5" max:"600"`
	// PreemptionDelay is how long a job waits before it preempts work of lower priority.
	PreemptionDelay time.Duration `star:"preempt_after_s" min:"0" max:"600"`
	// SpareTasks is how many tasks of room are kept free for classes that must start
	// faster than a machine boots.
	SpareTasks int `star:"spare_tasks" min:"0" max:"1000"`
	// GuaranteeShare is the share of the teams' guarantees that is kept as machines,
	// for GuaranteeHoldTime after a team's last work.
	GuaranteeShare    float64       `star:"guarantee_share" min:"0" max:"2"`
	GuaranteeHoldTime time.Duration `star:"guarantee_hold_s" min:"0" max:"3600"`
	// PreferSpot places tasks that may use spot machines there first.
	PreferSpot bool `star:"prefer_spot"`

	// Features are the sections of package featuregate, each a dictionary.
	Features featuregate.Features
}

// Default returns the embedded policy.
func Default() (*Policy, error) { return Parse("default.star", defaultScript) }

// Load reads the script at path, over the defaults; "" means the defaults. An error is a
// config.FieldError.
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

// Parse evaluates a script over the defaults. An error is a config.FieldError.
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

// apply sets what a script sets. Names that begin with _, and functions, are its own.
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

// setFeatures takes in the features that a script sets.
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

// fieldErrorf names a setting of the script, or the script itself.
func fieldErrorf(field, format string, args ...any) error {
	return config.FieldErrorf("policy."+field, format, args...)
}

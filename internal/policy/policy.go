// Package policy reads the operators' own settings: a Starlark script that is
// evaluated once at start, with its steps bounded, and checked.
package policy

import (
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/featuregate"
)

//go:embed default.star
var defaultScript string

const (
	maxScriptSteps = 1_000_000
	maxScriptBytes = 256 << 10
)

// Policy holds the operators' settings. The tags name the globals of the
// script; durations are in seconds there.
type Policy struct {
	LeaseTTL             time.Duration `star:"lease_s" min:"2" max:"60"`
	LeaseRenewInterval   time.Duration `star:"renew_s" min:"0.5" max:"20"`
	LeaderPollInterval   time.Duration `star:"leader_poll_s" min:"0.1" max:"10"`
	MinRoundInterval     time.Duration `star:"round_gap_s" min:"0.005" max:"5"`
	MaxFoldDelay         time.Duration `star:"fold_age_s" min:"0.05" max:"10"`
	RingSlots            int           `star:"ring_slots" min:"4" max:"256"`
	IdleTimeout          time.Duration `star:"idle_return_s" min:"5" max:"3600"`
	MinIdleTimeout       time.Duration `star:"idle_least_s" min:"1" max:"3600"`
	IdleBootFactor       float64       `star:"idle_boots" min:"0" max:"100"`
	DrainInterval        time.Duration `star:"vacate_every_s" min:"1" max:"3600"`
	ProvisionBackoff     time.Duration `star:"hire_backoff_s" min:"1" max:"600"`
	BootTimeoutFactor    float64       `star:"boot_factor" min:"1.5" max:"20"`
	LateBootFactor       float64       `star:"boot_late" min:"1" max:"20"`
	MinBootTimeout       time.Duration `star:"boot_floor_s" min:"1" max:"600"`
	SilenceTimeout       time.Duration `star:"silent_release_s" min:"5" max:"600"`
	EpochAdvanceInterval time.Duration `star:"reseal_s" min:"5" max:"600"`
	PreemptionDelay      time.Duration `star:"preempt_after_s" min:"0" max:"600"`
	SpareTasks           int           `star:"spare_tasks" min:"0" max:"1000"`
	GuaranteeShare       float64       `star:"guarantee_share" min:"0" max:"2"`
	GuaranteeHoldTime    time.Duration `star:"guarantee_hold_s" min:"0" max:"3600"`
	PreferSpot           bool          `star:"prefer_spot"`

	// Features are the sections of package feature, each a dictionary.
	Features featuregate.Features
}

// fieldErrorf names a setting of the script, or the script itself.
func fieldErrorf(field, format string, args ...any) error {
	return config.FieldErrorf("policy."+field, format, args...)
}

// Default returns the embedded policy.
func Default() (*Policy, error) { return Parse("default.star", defaultScript) }

// Load reads the script at path, over the defaults; "" means the defaults.
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

// Parse evaluates a script over the defaults.
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

func (p *Policy) apply(name, script string) error {
	globals, err := evaluate(name, script)
	if err != nil {
		return err
	}
	fields := settingFields()
	sections := map[string]any{}
	for _, key := range globals.Keys() {
		if key[0] == '_' {
			continue
		}
		if slices.Contains(featuregate.SectionNames(), key) {
			section, err := jsonValue(globals[key])
			if err != nil {
				return fieldErrorf(key, "%w", err)
			}
			sections[key] = section
			continue
		}
		i, ok := fields[key]
		if _, isFunc := globals[key].(*starlark.Function); isFunc && !ok {
			continue
		}
		if !ok {
			return fieldErrorf(key, "is not a setting; known are %v", knownNames(fields))
		}
		if err := p.setField(i, key, globals[key]); err != nil {
			return err
		}
	}
	return p.setFeatures(sections)
}

// settingFields returns the fields of Policy by the names of their settings.
func settingFields() map[string]int {
	fields := map[string]int{}
	t := reflect.TypeFor[Policy]()
	for i := range t.NumField() {
		if name, ok := t.Field(i).Tag.Lookup("star"); ok {
			fields[name] = i
		}
	}
	return fields
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

func knownNames(fields map[string]int) []string {
	return slices.Sorted(slices.Values(append(featuregate.SectionNames(), slices.Collect(maps.Keys(fields))...)))
}

func evaluate(name, script string) (starlark.StringDict, error) {
	if len(script) > maxScriptBytes {
		return nil, fieldErrorf("script", "larger than %d bytes", maxScriptBytes)
	}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true}, thread, name, script, nil)
	if err != nil {
		return nil, fieldErrorf("script", "%s", oneLine(err.Error()))
	}
	return globals, nil
}

func oneLine(s string) string {
	out := []rune(s)
	for i, r := range out {
		if r == '\n' || r == '\r' {
			out[i] = ' '
		}
	}
	return string(out)
}

func (p *Policy) setField(i int, key string, v starlark.Value) error {
	field := reflect.ValueOf(p).Elem().Field(i)
	if field.Kind() == reflect.Bool {
		b, ok := v.(starlark.Bool)
		if !ok {
			return fieldErrorf(key, "must be True or False, not %s", v.Type())
		}
		field.SetBool(bool(b))
		return nil
	}
	x, ok := starlark.AsFloat(v)
	if _, isBool := v.(starlark.Bool); !ok || isBool {
		return fieldErrorf(key, "must be a number, not %s", v.Type())
	}
	if err := checkRange(i, key, x); err != nil {
		return err
	}
	switch field.Interface().(type) {
	case time.Duration:
		field.SetInt(int64(clock.Seconds(x)))
	case int:
		if x != float64(int(x)) {
			return fieldErrorf(key, "must be a whole number")
		}
		field.SetInt(int64(x))
	default:
		field.SetFloat(x)
	}
	return nil
}

func checkRange(i int, key string, x float64) error {
	tag := reflect.TypeFor[Policy]().Field(i).Tag
	var low, high float64
	fmt.Sscan(tag.Get("min"), &low)
	fmt.Sscan(tag.Get("max"), &high)
	if !(x >= low && x <= high) {
		return fieldErrorf(key, "%v is not between %v and %v", x, low, high)
	}
	return nil
}

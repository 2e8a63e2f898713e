package policy

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.starlark.net/starlark"

	"badgerbay/internal/clock"
	"badgerbay/internal/featuregate"
)

// setting describes a field of Policy that a script may set, according to the field's tags.
type setting struct {
	name     string
	field    int // index of the field in Policy
	min, max float64
}

// settings returns the settings, keyed by name.
var settings = sync.OnceValue(func() map[string]setting {
	out := map[string]setting{}
	for field := range reflect.TypeFor[Policy]().NumField() {
		tag := reflect.TypeFor[Policy]().Field(field).Tag
		name, ok := tag.Lookup("star")
		if !ok {
			continue
		}
		out[name] = setting{name: name, field: field, min: parseBound(tag, "min"), max: parseBound(tag, "max")}
	}
	return out
})

// parseBound returns the bound that a setting's tag gives under key, or 0 if there is no such
// key.
func parseBound(tag reflect.StructTag, key string) float64 {
	text, ok := tag.Lookup(key)
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("policy: invalid %s tag of a setting: %v", key, err))
	}
	return v
}

// settingNames returns the sorted names of the settings and sections that a script may set.
func settingNames() []string {
	names := slices.AppendSeq(slices.Clone(featuregate.SectionNames()), maps.Keys(settings()))
	slices.Sort(names)
	return names
}

// set assigns a value from a script to the setting's field of p.
func (s setting) set(p *Policy, value starlark.Value) error {
	field := reflect.ValueOf(p).Elem().Field(s.field)
	if field.Kind() == reflect.Bool {
		b, ok := value.(starlark.Bool)
		if !ok {
			return fieldErrorf(s.name, "must be True or False, not %s", value.Type())
		}
		field.SetBool(bool(b))
		return nil
	}
	number, err := s.boundedNumber(value)
	if err != nil {
		return err
	}
	switch field.Interface().(type) {
	case time.Duration:
		field.SetInt(int64(clock.Seconds(number)))
	case int:
		if number != float64(int(number)) {
			return fieldErrorf(s.name, "must be a whole number")
		}
		field.SetInt(int64(number))
	default:
		field.SetFloat(number)
	}
	return nil
}

// boundedNumber returns a value from a script as a number, or an error unless it is a number
// within the setting's bounds.
func (s setting) boundedNumber(value starlark.Value) (float64, error) {
	number, ok := starlark.AsFloat(value)
	if _, isBool := value.(starlark.Bool); !ok || isBool {
		return 0, fieldErrorf(s.name, "must be a number, not %s", value.Type())
	}
	if !(number >= s.min && number <= s.max) {
		return 0, fieldErrorf(s.name, "%v is not between %v and %v", number, s.min, s.max)
	}
	return number, nil
}

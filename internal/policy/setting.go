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

// setting is a field of Policy that a script may set, as its tags describe it.
type setting struct {
	name     string
	field    int // of Policy
	min, max float64
}

// settings returns the settings by their names.
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

// parseBound reads a parseBound from the tags of a setting; 0: it has none.
func parseBound(tag reflect.StructTag, key string) float64 {
	text, ok := tag.Lookup(key)
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("policy: tag %s of a setting: %v", key, err))
	}
	return v
}

// settingNames lists what a script may set.
func settingNames() []string {
	names := slices.AppendSeq(slices.Clone(featuregate.SectionNames()), maps.Keys(settings()))
	slices.Sort(names)
	return names
}

// set gives the setting a value of a script.
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

// boundedNumber checks that a value is a boundedNumber within the bounds.
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

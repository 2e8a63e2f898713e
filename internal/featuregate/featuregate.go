// Package featuregate holds the features that operators enable in their script, which has
// one section per feature. The package owns the JSON Schema, the defaults and the validation
// of the sections, so that an invalid value is reported with its field name before the node
// starts. Package policy evaluates the script; other packages implement the features.
package featuregate

import (
	"maps"
	"slices"

	"badgerbay/internal/config"
)

// Features holds the features that are enabled on one node. The zero value enables none.
type Features struct {
	WarmStandby *WarmStandby // nil: disabled
	TeamQuotas  bool
}

// SectionNames returns the names of all sections that a script may set, sorted.
func SectionNames() []string { return slices.Sorted(maps.Keys(compiledSchema().Properties)) }

// Decode validates the sections, which are JSON values keyed by section name, and returns the
// features that they enable. A null section leaves its feature disabled. Every error is a
// *config.FieldError whose field begins with the section name.
func Decode(sections map[string]any) (Features, error) {
	enabled := make(map[string]any, len(sections))
	for name, section := range sections {
		if section != nil {
			enabled[name] = section
		}
	}
	if err := compiledSchema().Validate(enabled); err != nil {
		return Features{}, firstFieldError(err)
	}
	var f Features
	if section, ok := enabled["warm_standby"].(map[string]any); ok {
		f.WarmStandby = decodeWarmStandby(section)
	}
	_, f.TeamQuotas = enabled["team_quotas"]
	return f, nil
}

// Check returns an error if the enabled features can't work with the parameters of the
// deployment. The error is a *config.FieldError.
func (f Features) Check(p config.Params) error {
	if f.TeamQuotas {
		if err := checkTeamQuotas(p); err != nil {
			return err
		}
	}
	if f.WarmStandby != nil {
		return f.WarmStandby.check(p)
	}
	return nil
}

// Package featuregate holds the features that operators enable in their script, a
// section for each. It owns the sections' JSON Schema, defaults and checks, so that a
// mistake is named by its field before anything starts. Evaluating the script is left to
// package policy, and what a feature does to the packages that have it.
package featuregate

import (
	"maps"
	"slices"

	"badgerbay/internal/config"
)

// Features are the features of one node. The zero value enables none.
type Features struct {
	WarmStandby *WarmStandby // nil: off
	TeamQuotas  bool
}

// SectionNames lists the sections that exist.
func SectionNames() []string { return slices.Sorted(maps.Keys(compiledSchema().Properties)) }

// Decode checks the sections, given as JSON values by their names, and returns the
// features that they enable. A section that is null is off. An error is a
// config.FieldError, whose field begins with the section.
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

// Check tells whether the features can work with the parameters of the deployment. An
// error is a config.FieldError.
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

// Package featuregate holds the features that operators enable in their script, a
// section for each. What the script evaluates to is checked against a JSON Schema,
// so that a mistake is named by its field before anything starts.
package featuregate

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
)

//go:embed features.schema.json
var schemaText []byte

const schemaURL = "features.schema.json"

// Features is the features of one node. The zero value enables none.
type Features struct {
	WarmStandby *WarmStandby // nil: off
	TeamQuotas  bool
}

// WarmStandby are the settings of the warm standby.
type WarmStandby struct {
	HeartbeatInterval time.Duration // between two heartbeats of the leader
	HeartbeatTTL      time.Duration // a leader acts for so long after a heartbeat, at most
	PollInterval      time.Duration // between two looks at the heartbeat
	SyncInterval      time.Duration // between two looks at the changes of the records
	MaxReplicaMB      float64       // what the replica may hold
}

// ReplicaBytes is ReplicaMB in bytes.
func (w *WarmStandby) ReplicaBytes() int { return int(w.MaxReplicaMB * (1 << 20)) }

// Defaults of the warm standby, for what a section leaves out.
const (
	defaultHeartbeatInterval = 800 * time.Millisecond
	defaultHeartbeatTTL      = 2600 * time.Millisecond
	defaultPollInterval      = 250 * time.Millisecond
	defaultSyncInterval      = time.Second
	defaultMaxReplicaMB      = 24
)

// compiledSchema compiles the schema once. Names are sections of the schema.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(fmt.Sprintf("%s: %v", schemaURL, err))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic(fmt.Sprintf("%s: %v", schemaURL, err))
	}
	return c.MustCompile(schemaURL)
})

// SectionNames lists the sections that exist.
func SectionNames() []string { return slices.Sorted(maps.Keys(compiledSchema().Properties)) }

// Decode checks the sections, given as JSON values by their names, and returns the
// features that they enable. A section that is null is off.
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
	var s Features
	if section, ok := enabled["warm_standby"].(map[string]any); ok {
		s.WarmStandby = decodeWarmStandby(section)
	}
	_, s.TeamQuotas = enabled["team_quotas"]
	return s, nil
}

// firstFieldError names the first field that does not keep to the schema.
func firstFieldError(err error) error {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return config.FieldErrorf("features", "%w", err)
	}
	for len(ve.Causes) > 0 {
		ve = ve.Causes[0]
	}
	path := slices.Clone(ve.InstanceLocation)
	if extra, ok := ve.ErrorKind.(*kind.AdditionalProperties); ok && len(extra.Properties) > 0 {
		return config.FieldErrorf(strings.Join(append(path, extra.Properties[0]), "."), "is not a setting")
	}
	reason := ve.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return config.FieldErrorf(strings.Join(path, "."), "%s", strings.ReplaceAll(reason, "\n", " "))
}

func decodeWarmStandby(section map[string]any) *WarmStandby {
	w := &WarmStandby{HeartbeatInterval: defaultHeartbeatInterval, HeartbeatTTL: defaultHeartbeatTTL, PollInterval: defaultPollInterval, SyncInterval: defaultSyncInterval, MaxReplicaMB: defaultMaxReplicaMB}
	for name, field := range map[string]*time.Duration{"heartbeat_s": &w.HeartbeatInterval, "takeover_s": &w.HeartbeatTTL, "poll_s": &w.PollInterval, "sync_s": &w.SyncInterval} {
		if s, ok := section[name].(float64); ok {
			*field = clock.Seconds(s)
		}
	}
	if mb, ok := section["replica_mb"].(float64); ok {
		w.MaxReplicaMB = mb
	}
	return w
}

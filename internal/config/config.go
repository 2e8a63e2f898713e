// Package config reads and validates the settings file that the platform passes to every
// controller node, so that an invalid value is reported with its field name before the node
// starts. The package owns the file format and all values that are derived from the file
// alone. The operators' own settings belong to package policy, which reports invalid values
// with the same FieldError type.
package config

import (
	"encoding/json"
	"errors"
	"io"
	"os"
)

// maxFileBytes is the maximum size of the settings file.
const maxFileBytes = 4 << 20

// Settings holds the settings of one controller node.
type Settings struct {
	NodeName     string   `json:"label"`
	Zone         string   `json:"location"`
	ClientListen string   `json:"client_listen"` // listen address for users and workers
	PeerListen   string   `json:"mesh_addr"`     // listen address for other controller nodes
	Peers        []Peer   `json:"peers"`
	External     External `json:"external"`
	Params       Params   `json:"params"`
}

// Peer is another controller node.
type Peer struct {
	NodeName string `json:"label"`
	Zone     string `json:"location"`
	Addr     string `json:"peer_addr"`
}

// External holds the addresses of the regional services that the node depends on.
type External struct {
	Cloud        string `json:"cloud"`
	StateService string `json:"state"`
}

// PeerNames returns the names of the other controller nodes.
func (s *Settings) PeerNames() []string {
	names := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		names = append(names, p.NodeName)
	}
	return names
}

// Load reads and validates the settings file at path. Every error is a *FieldError.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, FieldErrorf("config", "%w", err)
	}
	defer f.Close()
	return Read(f)
}

// Read reads and validates settings in JSON. Unknown fields are ignored. Every error is a
// *FieldError.
func Read(r io.Reader) (*Settings, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return nil, FieldErrorf("config", "%w", err)
	}
	if len(data) > maxFileBytes {
		return nil, FieldErrorf("config", "larger than %d bytes", maxFileBytes)
	}
	s := new(Settings)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, jsonFieldError(err)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// jsonFieldError converts a decoding error to a FieldError. The FieldError names the field
// whose value has the wrong JSON type, or "config" if the error has another cause.
func jsonFieldError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return FieldErrorf(mismatch.Field, "a %s can't be used as %s", mismatch.Value, mismatch.Type)
	}
	return FieldErrorf("config", "not a JSON object of settings: %w", err)
}

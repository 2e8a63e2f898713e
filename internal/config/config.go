// Package config reads the settings file that the platform hands to every controller
// node, and checks it, so that a mistake is named by its field before anything starts.
// It owns the file's form and what is worked out from it alone. The operators' own
// settings are those of package policy, which says what is wrong by the same FieldError.
package config

import (
	"encoding/json"
	"errors"
	"io"
	"os"
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 4 << 20

// Settings are the settings of one controller node.
type Settings struct {
	NodeName     string   `json:"label"`
	Zone         string   `json:"location"`
	ClientListen string   `json:"client_listen"` // address for users and workers
	PeerListen   string   `json:"mesh_addr"`     // address for other nodes
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

// External holds the addresses of the regional services.
type External struct {
	Cloud        string `json:"cloud"`
	StateService string `json:"state"`
}

// PeerNames lists the names of the other nodes.
func (s *Settings) PeerNames() []string {
	names := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		names = append(names, p.NodeName)
	}
	return names
}

// Load reads and checks the settings file at path. An error is a FieldError.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, FieldErrorf("config", "%w", err)
	}
	defer f.Close()
	return Read(f)
}

// Read reads and checks settings. Unknown fields are ignored. An error is a FieldError.
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

// jsonFieldError names the field whose value is of another type, if that is what is
// wrong.
func jsonFieldError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return FieldErrorf(mismatch.Field, "a %s can't be used as %s", mismatch.Value, mismatch.Type)
	}
	return FieldErrorf("config", "not a JSON object of settings: %w", err)
}

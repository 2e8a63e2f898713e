package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"badgerbay/internal/config"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// renderCanonical returns the settings in the file at path as text: every field as it was
// parsed, and the values that are derived from the fields.
func renderCanonical(t *testing.T, path string) string {
	t.Helper()
	s, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	w, state := s.Params.Workers, s.Params.StateService
	return fmt.Sprintf("%s\nreport interval %v, at most %v\nlease %v\ncancellation %v\nreturn %v\ntakeover %v\nlist lag %v\n"+
		"value bytes %d, now and later %d\nvalues in a transaction %d, now and later %d\npeers %q\n",
		data, w.HeartbeatInterval(), w.MaxHeartbeatGap(), w.LeaseTTL(), w.CancelTimeout(), w.MaxReconnectTime(), w.MaxFailoverTime(), s.Params.Cloud.ListLag(),
		state.MaxValueBytes(), state.Strictest().MaxValueBytes(), state.MaxTxnValues(), state.Strictest().MaxTxnValues(), s.PeerNames())
}

// TestSettingsMatchGoldenFiles checks that settings files are parsed as in earlier versions,
// and that the parsed settings, written to a file, are parsed to the same values again.
func TestSettingsMatchGoldenFiles(t *testing.T) {
	for _, path := range []string{"../../examples/node-0.json", "testdata/golden/full.json"} {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		want := readFile(t, "testdata/golden/"+name+".canonical")
		got := renderCanonical(t, path)
		if got != want {
			t.Errorf("%s is parsed as\n%s\nwant\n%s", path, got, want)
		}
		text, _, _ := strings.Cut(got, "\nreport interval")
		copyPath := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(copyPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if renderCanonical(t, copyPath) != want {
			t.Errorf("%s: the parsed settings, written to a file, are parsed to other values", path)
		}
	}
}

// setAtPath sets the value at a path such as params.teams.0.cpus. For a key of an object, nil
// removes the key.
func setAtPath(t *testing.T, doc any, path string, value any) {
	t.Helper()
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		doc = childOf(t, doc, key)
	}
	last := keys[len(keys)-1]
	switch in := doc.(type) {
	case map[string]any:
		if value == nil {
			delete(in, last)
		} else {
			in[last] = value
		}
	case []any:
		in[parseIndex(t, last)] = value
	}
}

func childOf(t *testing.T, doc any, key string) any {
	t.Helper()
	switch in := doc.(type) {
	case map[string]any:
		return in[key]
	case []any:
		return in[parseIndex(t, key)]
	}
	t.Fatalf("the parent of %s is neither an object nor an array", key)
	return nil
}

func parseIndex(t *testing.T, key string) int {
	t.Helper()
	i, err := strconv.Atoi(key)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// packageQualifier matches the name of a Go package before a type name. It is removed from
// error messages, because the golden file does not depend on the package of a type.
var packageQualifier = regexp.MustCompile(`\b[a-z]+\.([A-Z])`)

// readErrorLine returns the error message for the full settings after the value at path was
// replaced, or "good" if they are valid. An empty path replaces the whole document.
func readErrorLine(t *testing.T, path, value string) string {
	t.Helper()
	var doc, v any
	if err := json.Unmarshal([]byte(readFile(t, "testdata/golden/full.json")), &doc); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(value), &v); err != nil {
		t.Fatal(err)
	}
	if path != "" {
		setAtPath(t, doc, path, v)
	} else {
		doc = v
	}
	data, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	_, err = config.Read(strings.NewReader(string(data)))
	if err == nil {
		return "good"
	}
	var fe *config.FieldError
	if !errors.As(err, &fe) || !strings.HasPrefix(err.Error(), fe.Field+": ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%s = %s: %v, want one line that begins with the field", path, value, err)
	}
	return packageQualifier.ReplaceAllString(err.Error(), "$1")
}

// TestErrorsMatchGoldenFile checks the error message for each invalid setting, and that the
// message is one line that begins with the field.
func TestErrorsMatchGoldenFile(t *testing.T) {
	for line := range strings.Lines(readFile(t, "testdata/golden/errors.txt")) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(fields) != 3 {
			t.Fatalf("%q has %d fields, want 3", line, len(fields))
		}
		if got := readErrorLine(t, fields[0], fields[1]); got != fields[2] {
			t.Errorf("%s = %s: %q, want %q", fields[0], fields[1], got, fields[2])
		}
	}
}

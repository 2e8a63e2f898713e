package featuregate_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"badgerbay/internal/config"
	"badgerbay/internal/featuregate"
)

// readGoldenRows returns the rows of a golden file with tab-separated columns.
func readGoldenRows(t *testing.T, name string, columns int) [][]string {
	t.Helper()
	data, err := os.ReadFile("testdata/golden/" + name)
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(fields) != columns {
			t.Fatalf("%q has %d fields, want %d", line, len(fields), columns)
		}
		rows = append(rows, fields)
	}
	return rows
}

// decodeJSON decodes the sections in a JSON text.
func decodeJSON(t *testing.T, text string) (featuregate.Features, error) {
	t.Helper()
	var sections map[string]any
	if err := json.Unmarshal([]byte(text), &sections); err != nil {
		t.Fatal(err)
	}
	return featuregate.Decode(sections)
}

// decodeResult returns the features that the sections enable as text, or the error message if
// the sections are invalid.
func decodeResult(t *testing.T, text string) string {
	t.Helper()
	features, err := decodeJSON(t, text)
	if err != nil {
		return err.Error()
	}
	standby := "off"
	if w := features.WarmStandby; w != nil {
		standby = fmt.Sprintf("heartbeat %v, takeover %v, poll %v, sync %v, replica %v MB", w.HeartbeatInterval, w.HeartbeatTTL, w.PollInterval, w.SyncInterval, w.MaxReplicaMB)
	}
	return fmt.Sprintf("warm_standby %s; team_quotas %t", standby, features.TeamQuotas)
}

// checkResult returns the error message of Check for the sections and the parameters of a
// deployment, or "good" if there is no error.
func checkResult(t *testing.T, sections, params string) string {
	t.Helper()
	features, err := decodeJSON(t, sections)
	if err != nil {
		t.Fatal(err)
	}
	var p config.Params
	if err := json.Unmarshal([]byte(params), &p); err != nil {
		t.Fatal(err)
	}
	if err := features.Check(p); err != nil {
		return err.Error()
	}
	return "good"
}

// TestDecodeMatchesGoldenFile checks which features sections enable, and the error messages
// for invalid sections.
func TestDecodeMatchesGoldenFile(t *testing.T) {
	for _, row := range readGoldenRows(t, "decoded.txt", 2) {
		if got := decodeResult(t, row[0]); got != row[1] {
			t.Errorf("%s: %q, want %q", row[0], got, row[1])
		}
	}
	if got := strings.Join(featuregate.SectionNames(), " "); got != "team_quotas warm_standby" {
		t.Errorf("sections %s", got)
	}
}

// TestCheckMatchesGoldenFile checks the error messages for sections that can't work in a
// deployment.
func TestCheckMatchesGoldenFile(t *testing.T) {
	for _, row := range readGoldenRows(t, "checked.txt", 3) {
		if got := checkResult(t, row[0], row[1]); got != row[2] {
			t.Errorf("%s with %s: %q, want %q", row[0], row[1], got, row[2])
		}
	}
}

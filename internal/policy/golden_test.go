package policy_test

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"badgerbay/internal/policy"
)

func readGoldenLines(t *testing.T, name string) []string {
	t.Helper()
	data, err := os.ReadFile("testdata/golden/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// renderSettings returns one line for each setting of a script, with its Starlark name, and
// one for each feature that the script enables.
func renderSettings(t *testing.T, script string) []string {
	t.Helper()
	p, err := policy.Parse("site.star", script)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	v := reflect.ValueOf(p).Elem()
	for i := range v.NumField() {
		if name, ok := v.Type().Field(i).Tag.Lookup("star"); ok {
			out = append(out, fmt.Sprintf("%s = %v", name, v.Field(i).Interface()))
		}
	}
	slices.Sort(out)
	if w := p.Features.WarmStandby; w != nil {
		out = append(out, fmt.Sprintf("warm_standby heartbeat %v, takeover %v", w.HeartbeatInterval, w.HeartbeatTTL))
	}
	return append(out, fmt.Sprintf("team_quotas %t", p.Features.TeamQuotas))
}

// readSiteScript returns a script that overrides every setting.
func readSiteScript(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("testdata/golden/site.star")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// parseResult returns the error message for a script, or "good" if it is valid.
func parseResult(script string) string {
	if _, err := policy.Parse("site.star", script); err != nil {
		return err.Error()
	}
	return "good"
}

// TestSettingsMatchGoldenFiles checks that scripts set the same values as in earlier versions.
func TestSettingsMatchGoldenFiles(t *testing.T) {
	for name, script := range map[string]string{"default.txt": "", "site.txt": readSiteScript(t)} {
		got, want := renderSettings(t, script), readGoldenLines(t, name)
		if !slices.Equal(got, want) {
			t.Errorf("%s: settings are\n%s\nwant\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// TestErrorsMatchGoldenFile checks the error message for each invalid script, and that the
// message begins with the setting.
func TestErrorsMatchGoldenFile(t *testing.T) {
	for _, line := range readGoldenLines(t, "errors.txt") {
		quoted, want, ok := strings.Cut(line, "\t")
		script, err := strconv.Unquote(quoted)
		if !ok || err != nil {
			t.Fatalf("%q is not a quoted script, a tab and a result: %v", line, err)
		}
		got := parseResult(script)
		if got != want {
			t.Errorf("%s: %q, want %q", quoted, got, want)
		}
		if got != "good" && !strings.HasPrefix(got, "policy.") {
			t.Errorf("%s: %q does not begin with the setting", quoted, got)
		}
	}
}

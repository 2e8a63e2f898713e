package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestInvalidFeaturesFailStartup checks that a policy with a misspelt feature setting, or with one that
// does not suit the deployment's settings, fails to load with a single line that names the field, and exit
// status 2.
func TestInvalidFeaturesFailStartup(t *testing.T) {
	for script, field := range map[string]string{
		"warm_standby = {'takeover': 3}":     "policy.warm_standby.takeover",
		"warm_standby = {'takeover_s': 1.5}": "policy.warm_standby.takeover_s",
	} {
		file := filepath.Join(t.TempDir(), "run.star")
		if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
			t.Fatal(err)
		}
		flags := settingsFlags{Config: "../../examples/node-0.json", Policy: file}
		_, _, err := flags.load()
		if err == nil || exitStatus(err) != exitUsage || !strings.HasPrefix(err.Error(), field+": ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", script, err, field)
		}
	}
	flags := settingsFlags{Config: "../../examples/node-0.json", Policy: "../../deploy/run.star"}
	if _, _, err := flags.load(); err != nil {
		t.Errorf("deploy/run.star: %v", err)
	}
}

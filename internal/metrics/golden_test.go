package metrics

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"badgerbay/internal/connlimit"
)

// TestMetricNames checks the names, labels and types of all metrics against a golden file, because
// operators' alerts depend on them.
func TestMetricNames(t *testing.T) {
	t.Parallel()
	golden, err := os.ReadFile("testdata/golden/metrics.txt")
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	m.RegisterConnections(connlimit.NewListener(nil, connlimit.Limits{}, nil))
	m.UserResponses.WithLabelValues("200").Inc()
	m.HeartbeatResponses.WithLabelValues("200").Inc()
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, family := range families {
		if strings.HasPrefix(family.GetName(), "go_") {
			continue // metrics of the Go runtime
		}
		var labels []string
		for _, label := range family.GetMetric()[0].GetLabel() {
			labels = append(labels, label.GetName())
		}
		lines = append(lines, fmt.Sprintf("%s{%s} %s", family.GetName(), strings.Join(labels, ","), family.GetType()))
	}
	want := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	for _, line := range lines {
		if !slices.Contains(want, line) {
			t.Errorf("metric not in the golden file: %s", line)
		}
	}
	for _, line := range want {
		if !slices.Contains(lines, line) {
			t.Errorf("metric of the golden file missing: %s", line)
		}
	}
}

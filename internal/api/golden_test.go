package api

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// readGolden reads a file in testdata/golden, whose lines have the form "name hex".
func readGolden(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/golden/" + file)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		data, err := hex.DecodeString(digits)
		if !ok || err != nil || lines[name] != nil {
			t.Fatalf("%s: malformed or repeated line %q: %v", file, line, err)
		}
		lines[name] = data
	}
	return lines
}

// TestGoldenSubmissions checks that recorded submissions decode to the same values, field
// by field. It guards against changes to the wire format that existing clients use.
func TestGoldenSubmissions(t *testing.T) {
	bodies := readGolden(t, "submissions.txt")
	want := map[string]Submission{
		"array-all-fields": {ID: "wk-000412", Spec: jobs.Spec{Class: "train", Team: "red", Priority: jobs.PriorityHigh,
			Tasks: 16, CPUs: 2, GPUs: 0.5, MemoryGB: 4.25, MachineTypes: []ident.MachineType{"m", "m2"}, Zone: "a", ZoneAffinity: true, Spot: true,
			Image: "img-07", ImageGB: 6.2, EstimatedRunSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSeconds: 4, DeadlineSeconds: 900}},
		"service": {ID: "wk-123456789012", Spec: jobs.Spec{Class: "web", Team: "blue", Service: true, Priority: jobs.PriorityProd,
			Tasks: 3, CPUs: 1, MemoryGB: 2, ZoneSpread: true, Image: "img-01", ImageGB: 1}},
		"gang-null-options": {ID: "wk-000413", Spec: jobs.Spec{Class: "mpi", Team: "red", Gang: true, Priority: jobs.PriorityStandard,
			Tasks: 8, CPUs: 4, GPUs: 1, MemoryGB: 16, Image: "img-02", ImageGB: 2.5, EstimatedRunSeconds: 600, CheckpointIntervalSeconds: 60, CheckpointSeconds: 5}},
		"array-options-left-out": {ID: "wk-000414", Spec: jobs.Spec{Class: "etl", Team: "red", Priority: jobs.PriorityBestEffort,
			Tasks: 100_000, CPUs: 0.5, MemoryGB: 0.5, Image: "img-03", ImageGB: 0, EstimatedRunSeconds: 1}},
	}
	for name, body := range bodies {
		got, err := DecodeSubmission(body)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(want[name], *got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	if len(bodies) != len(want) {
		t.Errorf("%d golden submissions, %d are checked", len(bodies), len(want))
	}
}

// TestGoldenStatusResponses checks that response bodies are encoded byte for byte as recorded. It
// guards against changes to the wire format that existing clients use.
func TestGoldenStatusResponses(t *testing.T) {
	bodies := readGolden(t, "answers.txt")
	statuses := map[string]Status{
		"queued":    {State: Queued},
		"running":   {State: Running, DoneTasks: 3, RunningTasks: 300},
		"done":      {State: Done, DoneTasks: 100_000},
		"cancelled": {State: Cancelled, DoneTasks: 5},
	}
	for name, status := range statuses {
		got, err := EncodeStatus("wk-000412", status)
		if err != nil || !bytes.Equal(got, bodies[name]) {
			t.Errorf("%s: encoded as %x, %v", name, got, err)
		}
		var decoded map[string]any
		if err := msgpack.Unmarshal(bodies[name], &decoded); err != nil || len(decoded) != 4 || decoded["id"] != "wk-000412" || decoded["standing"] != name {
			t.Errorf("%s: decoded as %v, %v", name, decoded, err)
		}
	}
	if len(bodies) != len(statuses) {
		t.Errorf("%d golden responses, %d are checked", len(bodies), len(statuses))
	}
}

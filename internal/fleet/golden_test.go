package fleet_test

import (
	"bufio"
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

// golden reads the recorded messages: a name and the bytes in hexadecimal on each line.
func golden(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open("testdata/golden/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	messages := map[string]string{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, bytes, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			t.Fatalf("no bytes in line %q", lines.Text())
		}
		messages[name] = bytes
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return messages
}

func task(job unit.JobID, index unit.TaskIndex) unit.TaskID {
	return unit.TaskID{Job: job, Index: index}
}

// TestGoldenHeartbeats reads recorded heartbeats.
func TestGoldenHeartbeats(t *testing.T) {
	messages := golden(t)
	for name, want := range map[string]*fleet.Report{
		"heartbeat/full": {Machine: "host-000017", Addr: "10.0.3.17:9000", Type: "m16.xlarge", Zone: "zone-b", Spot: true,
			Session: 3, Tally: 4711, Token: 123456789012, Noticed: true, Notice: 90500 * time.Millisecond,
			Entries: []fleet.Entry{
				{Task: task("wk-000412", 0), Attempt: 7, State: "fetching"},
				{Task: task("wk-000412", 3), Attempt: 8, State: "gathering"},
				{Task: task("wk-000413", 1), Attempt: 9, State: "running"},
				{Task: task("wk-000414", 2), Attempt: 10, State: "flushing"},
				{Task: task("wk-000415", 999999), Attempt: 1 << 40, State: "exited", Cause: fleet.CauseDone, Stored: true},
				{Task: task("wk-123456789012", 4), Attempt: 11, State: "exited", Cause: fleet.CauseStopped, Stored: true},
				{Task: task("wk-000416", 5), Attempt: 12, State: "exited", Cause: fleet.CauseError},
				{Task: task("wk-000416", 6), Attempt: 13, State: "exited", Cause: fleet.CauseNoRoom},
				{Task: task("wk-000416", 7), Attempt: 14, State: "exited", Cause: fleet.CauseBusy},
				{Task: task("wk-000416", 8), Attempt: 15, State: "exited", Cause: fleet.CauseUnknown},
				{Task: task("wk-000416", 9), Attempt: 16, State: "exited", Cause: fleet.CausePeers},
				{Task: task("wk-000416", 10), Attempt: 17, State: "exited", Cause: fleet.CauseIncomplete},
			}},
		"heartbeat/idle": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, Tally: 1},
		"heartbeat/notice-now": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, Tally: 2,
			Token: 10, Noticed: true},
		"heartbeat/unreadable-entries": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, Tally: 3,
			Token: 10, Strange: 3, Entries: []fleet.Entry{{Task: task("wk-000001", 0), Attempt: 1, State: "running"}}},
		"heartbeat/unknown-fields": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, Tally: 4, Token: 10},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := fleet.DecodeReport(decodeHex(t, messages[name]))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestGoldenMalformedHeartbeats refuses recorded heartbeats that name no machine, no
// session or no address, and those with names that are too long.
func TestGoldenMalformedHeartbeats(t *testing.T) {
	messages := golden(t)
	for _, name := range []string{"malformed/no-machine", "malformed/no-session", "malformed/no-address",
		"malformed/long-machine", "malformed/long-type", "malformed/long-zone", "malformed/endless-list"} {
		if got, err := fleet.DecodeReport(decodeHex(t, messages[name])); err == nil {
			t.Errorf("%s: read as %+v", name, got)
		}
	}
}

// TestGoldenCommands writes what workers are sent as it was recorded.
func TestGoldenCommands(t *testing.T) {
	messages := golden(t)
	commands := []fleet.Order{
		{Verb: fleet.Halt, Task: task("wk-000412", 3), Attempt: 8, Leave: 2500 * time.Millisecond},
		{Verb: fleet.Halt, Task: task("wk-000413", 1), Attempt: 9},
		{Verb: fleet.Launch, Task: task("wk-000414", 0), Attempt: 1 << 40},
		{Verb: fleet.Reap, Task: task("wk-000415", 999999), Attempt: 7},
	}
	for name, encode := range map[string]func() ([]byte, error){
		"answer/commands": func() ([]byte, error) { return fleet.EncodeAnswer(123456789012, commands) },
		"answer/none":     func() ([]byte, error) { return fleet.EncodeAnswer(7, nil) },
		"direct/commands": func() ([]byte, error) { return fleet.EncodeDo(123456789012, 3, commands) },
		"direct/none":     func() ([]byte, error) { return fleet.EncodeDo(7, 1, nil) },
		"redirect/leader": func() ([]byte, error) { return fleet.EncodeRedirect("n2") },
		"redirect/none":   func() ([]byte, error) { return fleet.EncodeRedirect("") },
	} {
		got, err := encode()
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if hex.EncodeToString(got) != messages[name] {
			t.Errorf("%s: %x, recorded %s", name, got, messages[name])
		}
	}
}

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(text)
	if err != nil || len(data) == 0 {
		t.Fatalf("recorded bytes %q: %v", text, err)
	}
	return data
}

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
	"badgerbay/internal/ident"
)

// readGoldenMessages returns the recorded messages by name. Each line of the file holds a name and the bytes in
// hexadecimal.
func readGoldenMessages(t *testing.T) map[string]string {
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

func taskID(job ident.JobID, index ident.TaskIndex) ident.TaskID {
	return ident.TaskID{Job: job, Index: index}
}

// TestGoldenHeartbeats checks that recorded heartbeats are decoded to the expected values, including those with unknown
// fields or unreadable task entries.
func TestGoldenHeartbeats(t *testing.T) {
	messages := readGoldenMessages(t)
	for name, want := range map[string]*fleet.Heartbeat{
		"heartbeat/full": {Machine: "host-000017", Addr: "10.0.3.17:9000", Type: "m16.xlarge", Zone: "zone-b", Spot: true,
			Session: 3, HeartbeatSeq: 4711, FencingToken: 123456789012, InterruptionNoticed: true, InterruptionIn: 90500 * time.Millisecond,
			Tasks: []fleet.TaskStatus{
				{Task: taskID("wk-000412", 0), Attempt: 7, State: "fetching"},
				{Task: taskID("wk-000412", 3), Attempt: 8, State: "gathering"},
				{Task: taskID("wk-000413", 1), Attempt: 9, State: "running"},
				{Task: taskID("wk-000414", 2), Attempt: 10, State: "flushing"},
				{Task: taskID("wk-000415", 999999), Attempt: 1 << 40, State: "exited", Cause: fleet.ExitDone, CheckpointStored: true},
				{Task: taskID("wk-123456789012", 4), Attempt: 11, State: "exited", Cause: fleet.ExitStopped, CheckpointStored: true},
				{Task: taskID("wk-000416", 5), Attempt: 12, State: "exited", Cause: fleet.ExitError},
				{Task: taskID("wk-000416", 6), Attempt: 13, State: "exited", Cause: fleet.ExitNoCapacity},
				{Task: taskID("wk-000416", 7), Attempt: 14, State: "exited", Cause: fleet.ExitBusy},
				{Task: taskID("wk-000416", 8), Attempt: 15, State: "exited", Cause: fleet.ExitUnknownTask},
				{Task: taskID("wk-000416", 9), Attempt: 16, State: "exited", Cause: fleet.ExitGangPeersLost},
				{Task: taskID("wk-000416", 10), Attempt: 17, State: "exited", Cause: fleet.ExitGangIncomplete},
			}},
		"heartbeat/idle": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 1},
		"heartbeat/notice-now": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 2,
			FencingToken: 10, InterruptionNoticed: true},
		"heartbeat/unreadable-entries": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 3,
			FencingToken: 10, UnreadableTasks: 3, Tasks: []fleet.TaskStatus{{Task: taskID("wk-000001", 0), Attempt: 1, State: "running"}}},
		"heartbeat/unknown-fields": {Machine: "host-1", Addr: "10.0.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 4, FencingToken: 10},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := fleet.DecodeHeartbeat(decodeHex(t, messages[name]))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestGoldenMalformedHeartbeats checks that recorded heartbeats are refused if the machine, the session or the address
// is missing, if a name is too long, or if a list claims more elements than the message contains.
func TestGoldenMalformedHeartbeats(t *testing.T) {
	messages := readGoldenMessages(t)
	for _, name := range []string{"malformed/no-machine", "malformed/no-session", "malformed/no-address",
		"malformed/long-machine", "malformed/long-type", "malformed/long-zone", "malformed/endless-list"} {
		if got, err := fleet.DecodeHeartbeat(decodeHex(t, messages[name])); err == nil {
			t.Errorf("%s: decoded as %+v, want an error", name, got)
		}
	}
}

// TestGoldenCommands checks that messages to workers are encoded exactly as recorded.
func TestGoldenCommands(t *testing.T) {
	messages := readGoldenMessages(t)
	commands := []fleet.Command{
		{Kind: fleet.CommandStop, Task: taskID("wk-000412", 3), Attempt: 8, GracePeriod: 2500 * time.Millisecond},
		{Kind: fleet.CommandStop, Task: taskID("wk-000413", 1), Attempt: 9},
		{Kind: fleet.CommandStart, Task: taskID("wk-000414", 0), Attempt: 1 << 40},
		{Kind: fleet.CommandForget, Task: taskID("wk-000415", 999999), Attempt: 7},
	}
	for name, encode := range map[string]func() ([]byte, error){
		"answer/commands": func() ([]byte, error) { return fleet.EncodeHeartbeatResponse(123456789012, commands) },
		"answer/none":     func() ([]byte, error) { return fleet.EncodeHeartbeatResponse(7, nil) },
		"direct/commands": func() ([]byte, error) { return fleet.EncodeDirectCommands(123456789012, 3, commands) },
		"direct/none":     func() ([]byte, error) { return fleet.EncodeDirectCommands(7, 1, nil) },
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

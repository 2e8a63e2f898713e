package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// runProgramEnv is the environment variable that makes the test binary run the program instead of the
// tests. It lets the tests run the complete command line without building the program.
const runProgramEnv = "BADGERBAY_TEST_RUN_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) == "" {
		os.Exit(m.Run())
	}
	http.DefaultTransport = echoTransport{}
	main()
}

// echoTransport answers the client's requests in place of a node. The response is an object that repeats
// the request's method, URL, media type and body. A path that contains "busy", "missing" or "garbage"
// selects status 503, status 404 or a body that is not MessagePack.
type echoTransport struct{}

// RoundTrip implements http.RoundTripper.
func (echoTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: r}
	response := map[string]any{"method": r.Method, "url": r.URL.String(), "contentType": r.Header.Get("Content-Type")}
	if len(body) > 0 {
		var decodedBody any
		if err = msgpack.Unmarshal(body, &decodedBody); err != nil {
			return nil, err
		}
		response["body"] = decodedBody
	}
	switch {
	case strings.Contains(r.URL.Path, "busy"):
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set("Retry-After", "7")
	case strings.Contains(r.URL.Path, "missing"):
		resp.StatusCode = http.StatusNotFound
	case r.URL.Path == "/submissions":
		resp.StatusCode = http.StatusCreated
	}
	resp.Status = fmt.Sprintf("%d %s", resp.StatusCode, http.StatusText(resp.StatusCode))
	data, err := msgpack.Marshal(response)
	if strings.Contains(r.URL.Path, "garbage") {
		data = []byte{0xc1}
	}
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, err
}

// invalidSettings lists invalid settings files. Each is the example with the value at one path replaced.
var invalidSettings = []struct {
	file, path string
	value      any
}{
	{"label.json", "label", ""},
	{"listen.json", "client_listen", "nowhere"},
	{"mesh.json", "mesh_addr", "127.0.0.1:0"},
	{"cloud.json", "external.cloud", "[::1]:80"},
	{"state.json", "external.state", ""},
	{"nodes.json", "params.nodes", "three"},
	{"zones.json", "params.zones", []any{}},
	{"report.json", "params.workers.report_s", -1},
	{"lease.json", "params.workers.lease_s", 0.5},
	{"cancel.json", "params.workers.cancel_s", 1},
	{"rps.json", "params.state.rps", 0},
	{"write-rps.json", "params.state.write_rps", -3},
	{"txn-ops.json", "params.state.txn_ops", 0},
	{"cloud-rps.json", "params.cloud.rps", 0},
	{"list-lag.json", "params.cloud.list_lag_s", -1},
	{"sockets.json", "params.machine_limits.max_sockets", 3},
	{"memory.json", "params.machine_limits.mem_mb", 1},
	{"cpu.json", "params.machine_limits.cpu", -1},
	{"clock.json", "params.clock_error_ms", -1},
}

// writeSettings writes the example settings, the invalid settings, job files and policy scripts to a
// directory.
func writeSettings(t *testing.T, dir string) {
	t.Helper()
	example, err := os.ReadFile("../../examples/node-0.json")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{
		"good.json":     example,
		"not-json.json": []byte("label: node-0"),
		"list.json":     []byte("[]"),
		"job.json":      []byte(`{"id": "wk-000001", "entries": 3, "cpus": 0.5, "memoryGb": 2.0, "names": ["a", 1]}`),
		"not-job.json":  []byte(`[1]`),
		"good.star":     []byte("warm_standby = {}\nteam_quotas = {}\n"),
		"typo.star":     []byte("warm_standby = {'takeover': 3}\n"),
		"early.star":    []byte("warm_standby = {'takeover_s': 1.5}\n"),
		"unknown.star":  []byte("cold_standby = {}\n"),
		"type.star":     []byte("team_quotas = 3\n"),
		"broken.star":   []byte("warm_standby = {\n"),
	}
	for _, invalid := range invalidSettings {
		var settings map[string]any
		if err = json.Unmarshal(example, &settings); err != nil {
			t.Fatal(err)
		}
		path, parent := strings.Split(invalid.path, "."), settings
		for _, name := range path[:len(path)-1] {
			parent = parent[name].(map[string]any)
		}
		parent[path[len(path)-1]] = invalid.value
		if files[invalid.file], err = json.Marshal(settings); err != nil {
			t.Fatal(err)
		}
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// runProgram runs a command line in a directory and returns the command line, the exit status and the
// output, in the format of the golden file.
func runProgram(t *testing.T, dir, commandLine string) string {
	t.Helper()
	fields := strings.Fields(commandLine)
	cmd := exec.Command(os.Args[0], fields[1:]...)
	cmd.Dir = dir
	cmd.Env = []string{runProgramEnv + "=1"}
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); cmd.ProcessState == nil {
		t.Fatalf("%s: %v", commandLine, err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "$ %s\nexit status %d\n", commandLine, cmd.ProcessState.ExitCode())
	for _, stream := range []struct{ name, text string }{{"stdout", stdout.String()}, {"stderr", stderr.String()}} {
		if stream.text != "" {
			fmt.Fprintf(&out, "-- %s --\n%s", stream.name, strings.ReplaceAll(stream.text, runtime.Version(), "GOVERSION"))
		}
	}
	return out.String()
}

// TestCommandLineOutputAndExitStatus checks the output and the exit status of each command line in the
// golden file. It guards against changes that break operators' scripts. Invalid settings must produce a
// single line that names the field, and exit status 2.
func TestCommandLineOutputAndExitStatus(t *testing.T) {
	golden, err := os.ReadFile("testdata/golden/commandline.txt")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	writeSettings(t, dir)
	sections := strings.Split(string(golden), "\n$ ")
	for i, section := range sections {
		want := strings.TrimPrefix(section, "$ ")
		if i < len(sections)-1 {
			want += "\n"
		}
		line, _, _ := strings.Cut(want, "\n")
		got := runProgram(t, dir, line)
		if got != "$ "+want {
			t.Errorf("got:\n%swant:\n$ %s", got, want)
		}
	}
}

package main

import (
	"bytes"
	gocmp "cmp"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// TestGoldenHelp checks the help text of each command against the golden file named after it. It guards
// against changes of commands, flags and environment variables that operators use.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	for _, command := range []string{"", "serve", "check", "version", "submit", "status", "cancel", "quota", "standby"} {
		want, err := os.ReadFile(filepath.Join("testdata/golden", "help-"+gocmp.Or(command, "badgerbay")+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(helpText(t, command), "\n")); diff != "" {
			t.Errorf("help of %q: %s", command, diff)
		}
	}
}

// helpText returns the output of a command with --help.
func helpText(t *testing.T, command string) string {
	t.Helper()
	var out bytes.Buffer
	parser := testParser(t, kong.Writers(&out, &out), kong.Exit(func(int) {}))
	// Parse continues after the help and returns an error, because the Exit option above does not exit.
	_, _ = parser.Parse(strings.Fields(command + " --help"))
	return out.String()
}

func testParser(t *testing.T, options ...kong.Option) *kong.Kong {
	t.Helper()
	parser, err := newParser(options...)
	if err != nil {
		t.Fatal(err)
	}
	return parser
}

// TestGoldenClientRequests checks the request that each client command sends and the response that it
// prints. It guards against changes that break compatibility with nodes or operators' scripts.
func TestGoldenClientRequests(t *testing.T) {
	job := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(job, []byte(`{"id": "wk-000412", "entries": 16, "cpus": 2.5, "dueS": null, "frames": ["m", 1]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args, request string
		body          map[string]any
	}{
		{"submit " + job, "POST /submissions", map[string]any{"id": "wk-000412", "entries": int64(16), "cpus": 2.5, "dueS": nil, "frames": []any{"m", int64(1)}}},
		{"status wk-000412", "GET /submissions/wk-000412", nil},
		{"cancel wk-000412", "POST /submissions/wk-000412/withdraw", nil},
		{"withdraw wk-000412", "POST /submissions/wk-000412/withdraw", nil},
		{"quota", "GET /quota", nil},
		{"standby", "GET /standby", nil},
	}
	for _, tt := range tests {
		var request string
		var body map[string]any
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request = r.Method + " " + r.URL.Path
			data, err := io.ReadAll(r.Body)
			if err != nil || r.Header.Get("Content-Type") != "application/msgpack" {
				t.Errorf("%s: Content-Type %q, %v", tt.args, r.Header.Get("Content-Type"), err)
			}
			if len(data) > 0 {
				if err := msgpack.Unmarshal(data, &body); err != nil {
					t.Errorf("%s: %v", tt.args, err)
				}
			}
			_, _ = w.Write([]byte{0x82, 0xa2, 'i', 'd', 0xa1, 'x', 0xa4, 'd', 'o', 'n', 'e', 3})
		}))
		out, err := runCommand(t, tt.args+" --addr "+strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		if err != nil || request != tt.request || out != `{"done":3,"id":"x"}`+"\n" {
			t.Errorf("%s: sent %q, printed %q, %v", tt.args, request, out, err)
		}
		if diff := cmp.Diff(tt.body, body); diff != "" {
			t.Errorf("%s: request body differs: %s", tt.args, diff)
		}
	}
}

// TestGoldenClientErrors checks the client's error for a 503 response, with and without Retry-After, and
// exit status 1.
func TestGoldenClientErrors(t *testing.T) {
	for retryAfter, want := range map[string]string{"": "503 Service Unavailable", "7": "503 Service Unavailable; come back in 7 s"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if retryAfter != "" {
				w.Header().Set("Retry-After", retryAfter)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		out, err := runCommand(t, "status wk-000412 --addr "+strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		if err == nil || err.Error() != want || out != "" || exitStatus(err) != 1 {
			t.Errorf("Retry-After %q: printed %q, %v", retryAfter, out, err)
		}
	}
}

// runCommand runs a command in this process and returns what it writes to standard output.
func runCommand(t *testing.T, args string) (string, error) {
	t.Helper()
	ctx, err := testParser(t).Parse(strings.Fields(args))
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Create(filepath.Join(t.TempDir(), "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	stdout := os.Stdout
	os.Stdout = file
	runErr := ctx.Run()
	os.Stdout = stdout
	data, err := os.ReadFile(file.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(data), runErr
}

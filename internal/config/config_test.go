package config

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// settingsJSON returns valid settings in JSON, after change has modified them.
func settingsJSON(t *testing.T, change func(map[string]any)) string {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal([]byte(`{"label":"n0","location":"a","client_listen":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081",
		"peers":[{"label":"n1","location":"b","peer_addr":"10.0.0.2:8081"}],
		"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"}, "novel":{"x":1},
		"params":{"nodes":2,"zones":["a","b"],"teams":[{"name":"red","cpus":1.0,"cpus_max":2.0,"gpus":0.0,"gpus_max":0.0}],
		"objectives":[{"kind":"wait","class":"c","within_s":8.0,"share":0.9}],
		"workers":{"report_s":3.0,"lease_s":27.0,"cancel_s":52.0},"state":{"rps":150.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":8},
		"cloud":{"rps":5.0,"list_lag_s":3.0},"machine_limits":{"cpu":0.24,"mem_mb":179.0,"max_sockets":1800},"clock_error_ms":250.0}}`), &m); err != nil {
		t.Fatal(err)
	}
	change(m)
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestReadParsesValidSettings(t *testing.T) {
	s, err := Read(strings.NewReader(settingsJSON(t, func(map[string]any) {})))
	if err != nil {
		t.Fatal(err)
	}
	if s.NodeName != "n0" || s.Peers[0].Addr != "10.0.0.2:8081" || s.Params.StateService.MaxTxnOps != 8 || s.Params.StateService.MaxValueBytes() != 8192 {
		t.Errorf("%+v", s)
	}
}

// setParam returns a change for settingsJSON that sets one field of a section of the
// parameters.
func setParam(section, key string, value any) func(map[string]any) {
	return func(m map[string]any) { m["params"].(map[string]any)[section].(map[string]any)[key] = value }
}

// TestReadNamesFieldOfInvalidSetting checks that each invalid setting is reported on one line
// that names its field, so that operators can find it.
func TestReadNamesFieldOfInvalidSetting(t *testing.T) {
	for field, change := range map[string]func(map[string]any){
		"label":                             func(m map[string]any) { delete(m, "label") },
		"client_listen":                     func(m map[string]any) { m["client_listen"] = "localhost:80" },
		"mesh_addr":                         func(m map[string]any) { m["mesh_addr"] = "10.0.0.1" },
		"peers[0].peer_addr":                func(m map[string]any) { m["peers"].([]any)[0].(map[string]any)["peer_addr"] = "[::1]:1" },
		"peers[0].label":                    func(m map[string]any) { m["peers"].([]any)[0].(map[string]any)["label"] = "n0" },
		"external.state":                    func(m map[string]any) { m["external"] = map[string]any{"cloud": "10.2.0.2:1"} },
		"params.zones":                      func(m map[string]any) { m["params"].(map[string]any)["zones"] = []any{} },
		"params.workers.lease_s":            setParam("workers", "lease_s", 5),
		"params.workers.report_s":           setParam("workers", "report_s", 0),
		"params.state.txn_ops":              setParam("state", "txn_ops", -1),
		"params.state.rps":                  setParam("state", "rps", "many"),
		"params.machine_limits.cpu":         setParam("machine_limits", "cpu", 0),
		"params.cloud.list_lag_s":           setParam("cloud", "list_lag_s", -1),
		"params.teams[0].cpus":              func(m map[string]any) { m["params"].(map[string]any)["teams"].([]any)[0].(map[string]any)["cpus"] = -1 },
		"params.machine_limits.max_sockets": setParam("machine_limits", "max_sockets", 19),
		"params.machine_limits.mem_mb":      setParam("machine_limits", "mem_mb", 8),
		"params.workers.gang_wait_s":        setParam("workers", "gang_wait_s", -3),
		"params.workers.gang_peer_s":        setParam("workers", "gang_peer_s", "soon"),
		"params.state.next.value_kb":        setParam("state", "next", map[string]any{"write_rps": 15.0, "value_kb": 0.2, "txn_ops": 4}),
		"params.state.next.txn_ops":         setParam("state", "next", map[string]any{"write_rps": 15.0, "value_kb": 2.0}),
		"params.state.next.write_rps":       setParam("state", "next", map[string]any{"write_rps": -1.0, "value_kb": 2.0, "txn_ops": 4}),
		"params.state.next":                 setParam("state", "next", 7),
		"params.zones[1]":                   func(m map[string]any) { m["params"].(map[string]any)["zones"] = []any{"a", "a"} },
		"params.clock_error_ms":             func(m map[string]any) { m["params"].(map[string]any)["clock_error_ms"] = -1 },
		"params.workers.cancel_s":           setParam("workers", "cancel_s", 27),
		"params.state.value_kb":             setParam("state", "value_kb", 1e300),
		"params.state.write_rps":            setParam("state", "write_rps", 0),
		"params.cloud.rps":                  setParam("cloud", "rps", 1e12),
	} {
		t.Run(field, func(t *testing.T) {
			_, err := Read(strings.NewReader(settingsJSON(t, change)))
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) || !strings.Contains(fieldErr.Field, strings.TrimPrefix(field, "params.")) {
				t.Error(err)
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than one line: %q", err)
			}
		})
	}
}

// TestReadRejectsIncompatibleWorkerTimes checks that worker times are rejected which are each
// valid but together leave no time for a lost heartbeat, a failover or a cancellation.
func TestReadRejectsIncompatibleWorkerTimes(t *testing.T) {
	for wantMessage, workers := range map[string]map[string]any{
		"room for a lost report": {"report_s": 5.0, "lease_s": 9.0, "cancel_s": 52.0},
		"time for a failover":    {"report_s": 1.0, "lease_s": 3.0, "cancel_s": 52.0},
		"no longer than lease_s": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 8.0},
	} {
		_, err := Read(strings.NewReader(settingsJSON(t, func(m map[string]any) { m["params"].(map[string]any)["workers"] = workers })))
		if err == nil || !strings.Contains(err.Error(), wantMessage) {
			t.Errorf("%v: %v, want %q", workers, err, wantMessage)
		}
	}
}

func TestReadRejectsMaxSocketsOutOfRange(t *testing.T) {
	for _, sockets := range []any{1e18, -1, 0} {
		_, err := Read(strings.NewReader(settingsJSON(t, setParam("machine_limits", "max_sockets", sockets))))
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || !strings.Contains(fieldErr.Field, "max_sockets") {
			t.Errorf("%v sockets: %v", sockets, err)
		}
	}
}

func TestReadRejectsInputThatIsNotAnObject(t *testing.T) {
	for _, text := range []string{"", "[]", "{", "null"} {
		if _, err := Read(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// TestStrictestReturnsSmallerLimits checks that Strictest returns the current limits without
// state.next, and the smaller of each pair with it.
func TestStrictestReturnsSmallerLimits(t *testing.T) {
	current := State{RPS: 150, WriteRPS: 20, MaxValueKB: 8, MaxTxnOps: 8}
	if current.Strictest() != current {
		t.Errorf("%+v without announced limits, want the current ones", current.Strictest())
	}
	announced := current
	announced.Next = &StateLimits{WriteRPS: 30, MaxValueKB: 2, MaxTxnOps: 4}
	if got := announced.Strictest(); got.WriteRPS != 20 || got.MaxValueKB != 2 || got.MaxTxnOps != 4 || got.RPS != 150 {
		t.Errorf("%+v, want the smaller of each pair", got)
	}
}

// TestMaxTxnValuesFitsInTransaction checks that MaxTxnValues stays within the number of
// operations and the total size that a transaction may have, if all values have the maximum
// size.
func TestMaxTxnValuesFitsInTransaction(t *testing.T) {
	for _, c := range []struct {
		kb   float64
		ops  int
		want int
	}{{2, 4, 4}, {8, 8, 7}, {16, 16, 3}, {64, 8, 1}} {
		if n := (State{MaxValueKB: c.kb, MaxTxnOps: c.ops}).MaxTxnValues(); n != c.want {
			t.Errorf("values of %v KiB, %d operations: %d values in a transaction, want %d", c.kb, c.ops, n, c.want)
		}
	}
}

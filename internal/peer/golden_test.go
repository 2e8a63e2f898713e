package peer

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer/meshpb"
	"badgerbay/internal/quota"
	"badgerbay/internal/wire"
)

// readGolden reads a file in testdata/golden, whose lines have the form "name text".
func readGolden(t *testing.T, file string) map[string]string {
	t.Helper()
	data, err := os.ReadFile("testdata/golden/" + file)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(data)) {
		name, text, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !ok || lines[name] != "" {
			t.Fatalf("%s: malformed or repeated line %q", file, line)
		}
		lines[name] = text
	}
	return lines
}

// goldenBatch returns a batch with a value in every field.
func goldenBatch() *Batch {
	notice := 12.5
	return &Batch{
		ID: "k3v9-17", Node: "n0", WantsDelegation: true, AckedBatchID: "k3v9-16", IdleMs: 2500, SchemaVersion: 3,
		Heartbeats: []Heartbeat{
			{Machine: "host-000001", Addr: "10.1.0.2:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 88, FencingToken: 41,
				TaskGroups: []TaskGroup{{Job: "wk-000412", Attempt: 7, State: "running", Indexes: indexset.Set{{First: 0, Last: 3}, {First: 9, Last: 9}}}}},
			{Machine: "host-000002", Addr: "10.1.0.3:9000", Type: "m2", Zone: "b", Spot: true, Session: 3, HeartbeatSeq: 12, FencingToken: 40, SpotNoticeSeconds: &notice,
				TaskGroups: []TaskGroup{
					{Job: "wk-000412", Attempt: 6, State: "exited", Cause: fleet.ExitStopped, CheckpointStored: true, Indexes: indexset.Set{{First: 2, Last: 2}}},
					{Job: "wk-000413", Attempt: 7, State: "exited", Cause: fleet.ExitDone, Indexes: indexset.Set{{First: 300, Last: 70000}}}}},
		},
		CancelRequests: []CancelRequest{{Job: "wk-000398"}},
		Quota: &quota.AllocationRequest{Holder: quota.HolderID{Node: "n0", ModRevision: 515},
			Teams: []quota.TeamRequest{{Team: "red", ReleaseSeq: 4, Retained: quota.Quantity{MilliCPU: 64000, MilliGPU: 2000}, Desired: quota.Quantity{MilliCPU: 96500, MilliGPU: 1}}},
			Jobs:  []ident.JobID{"wk-000001", "wk-000002"}},
	}
}

// goldenReply returns a reply with a value in every field.
func goldenReply() *BatchReply {
	return &BatchReply{
		ID: "k3v9-17",
		Heartbeats: []HeartbeatReply{
			{Machine: "host-000001", Code: 200, Epoch: 77, Commands: []CommandGroup{
				{Kind: fleet.CommandStop, Job: "wk-000412", Attempt: 7, GracePeriodSeconds: 10.5, Indexes: indexset.Set{{First: 0, Last: 1}}},
				{Kind: fleet.CommandStart, Job: "wk-000500", Attempt: 9, Indexes: indexset.Set{{First: 3, Last: 3}}},
				{Kind: fleet.CommandForget, Job: "wk-000412", Attempt: 6, Indexes: indexset.Set{{First: 2, Last: 2}}}}},
			{Machine: "host-000002", Code: 503, Epoch: 77}},
		Cancellations: []CancelReply{{Job: "wk-000398", State: "cancelled", DoneTasks: 3}, {Job: "wk-000399"}},
		Delegation:    &DelegationStatus{Epoch: 77, TTLMs: 30000, IdleMs: 1500, Excluded: []ident.MachineID{"host-000007"}, SchemaVersion: 3, EnforcesQuotas: true},
		Quota: &quota.AllocationResponse{Holder: quota.HolderID{Node: "n0", ModRevision: 515}, Epoch: 77, Revoked: true,
			Teams:   []quota.TeamAllocation{{Team: "red", ReleaseSeq: 5, Allocated: quota.Quantity{MilliCPU: 32000, MilliGPU: 1000}, Recall: quota.Quantity{MilliCPU: 500}}},
			JobCaps: []quota.JobCap{{Job: "wk-000001", MaxTasks: 17}}},
	}
}

// TestGoldenMessages checks that batches, replies and delegation statuses are encoded byte
// for byte as recorded, and decoded to the same messages: in MessagePack, compressed into a
// value, and in JSON. It guards against changes that nodes of other versions cannot decode.
func TestGoldenMessages(t *testing.T) {
	want := readGolden(t, "messages.txt")
	ignoreQuota := []cmp.Option{cmpopts.IgnoreFields(Batch{}, "Quota"), cmpopts.IgnoreFields(BatchReply{}, "Quota")}
	encodeValue := func(v any) ([]byte, error) {
		text, err := wire.CompressMessage(v)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(text)
	}
	tests := []struct {
		name    string
		message any
		encode  func(any) ([]byte, error)
		decode  func([]byte) (any, error)
		options []cmp.Option
	}{
		{"batch", goldenBatch(), msgpack.Marshal, func(d []byte) (any, error) { return DecodeBatch(d) }, nil},
		{"batch-empty", &Batch{}, msgpack.Marshal, func(d []byte) (any, error) { return DecodeBatch(d) }, nil},
		{"batch-squeezed", goldenBatch(), encodeValue, func(d []byte) (any, error) { return DecompressBatch(d) }, nil},
		{"batch-json", goldenBatch(), json.Marshal, func(d []byte) (any, error) { b := new(Batch); return b, json.Unmarshal(d, b) }, ignoreQuota},
		{"answers", goldenReply(), msgpack.Marshal, func(d []byte) (any, error) { return DecodeReply(d) }, nil},
		{"answers-empty", &BatchReply{}, msgpack.Marshal, func(d []byte) (any, error) { return DecodeReply(d) }, nil},
		{"answers-squeezed", goldenReply(), encodeValue, func(d []byte) (any, error) { return DecompressReply(d) }, nil},
		{"answers-json", goldenReply(), json.Marshal, func(d []byte) (any, error) { a := new(BatchReply); return a, json.Unmarshal(d, a) }, ignoreQuota},
		{"delegation", PackDelegationStatus(leasedelegation.Status{Epoch: 9, GrantDuration: 7 * time.Second, IdleFor: 40 * time.Millisecond, ExcludedMachines: []ident.MachineID{"m1", "m2"}}),
			msgpack.Marshal, func(d []byte) (any, error) { v := new(DelegationStatus); return v, msgpack.Unmarshal(d, v) }, nil},
	}
	for _, tt := range tests {
		data, err := hex.DecodeString(want[tt.name])
		if err != nil || len(data) == 0 {
			t.Fatalf("%s: no golden bytes: %v", tt.name, err)
		}
		encoded, err := tt.encode(tt.message)
		if err != nil || !bytes.Equal(encoded, data) {
			t.Errorf("%s: encoded as %x, %v", tt.name, encoded, err)
		}
		got, err := tt.decode(data)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
		if diff := cmp.Diff(tt.message, got, append(tt.options, cmpopts.EquateComparable(indexset.Span{}))...); diff != "" {
			t.Errorf("%s: decoded message differs: %s", tt.name, diff)
		}
	}
	if len(want) != len(tests) {
		t.Errorf("%d golden messages, %d are checked", len(want), len(tests))
	}
}

// TestGoldenCalls checks that the gRPC messages are encoded byte for byte as recorded, and
// decoded to the same messages without unknown fields. It guards against changes that
// nodes of other versions cannot decode.
func TestGoldenCalls(t *testing.T) {
	want := readGolden(t, "calls.txt")
	messages := []proto.Message{
		&meshpb.AskRequest{Job: "wk-000412", Withdraw: true},
		&meshpb.AskReply{Outcome: meshpb.Outcome_OUTCOME_BUSY, Standing: "running", Done: 3, Running: 300},
		&meshpb.NoticeRequest{Job: "wk-000412"}, &meshpb.NoticeReply{Taken: true},
		&meshpb.AcceptRequest{Submission: []byte{0x81, 0xa1, 'a', 1}}, &meshpb.AcceptReply{Status: 201, Body: []byte{0x80}},
		&meshpb.RelayRequest{Batch: []byte{0x81, 0xa1, 'b', 2}}, &meshpb.RelayReply{Answers: []byte{0x80}},
		&meshpb.HealthRequest{}, &meshpb.HealthReply{StateReached: true, Leader: "n1"},
	}
	for _, m := range messages {
		name := string(m.ProtoReflect().Descriptor().Name())
		text, ok := want[name]
		data, err := hex.DecodeString(text)
		if !ok || err != nil {
			t.Fatalf("%s: no golden bytes: %v", name, err)
		}
		if got, err := proto.Marshal(m); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%s: encoded as %x, %v", name, got, err)
		}
		got := m.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(data, got); err != nil || !proto.Equal(got, m) || len(got.ProtoReflect().GetUnknown()) > 0 {
			t.Errorf("%s: decoded as %v, %v", name, got, err)
		}
	}
	if len(want) != len(messages) {
		t.Errorf("%d golden messages, %d are checked", len(want), len(messages))
	}
}

// TestProtocolDescriptor checks that the protocol package, the method paths, and the names,
// numbers and kinds of fields and enum values are as recorded. It guards against changes
// that are incompatible with nodes of other versions.
func TestProtocolDescriptor(t *testing.T) {
	data, err := os.ReadFile("testdata/golden/descriptor.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := describeProtocol(meshpb.File_mesh_proto)
	if diff := cmp.Diff(strings.Split(string(data), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Error(diff)
	}
	paths := []string{meshpb.Mesh_Ask_FullMethodName, meshpb.Mesh_Notice_FullMethodName, meshpb.Mesh_Accept_FullMethodName,
		meshpb.Mesh_Relay_FullMethodName, meshpb.Mesh_Health_FullMethodName}
	for _, path := range paths {
		if !strings.Contains(got, "method "+path+" ") {
			t.Errorf("method %s of the client is not in the descriptor", path)
		}
	}
}

// describeProtocol lists the parts of a protocol file that other versions depend on: its
// methods, messages, fields and enum values.
func describeProtocol(file protoreflect.FileDescriptor) string {
	var out strings.Builder
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for k := range service.Methods().Len() {
			m := service.Methods().Get(k)
			fmt.Fprintf(&out, "method /%s/%s %s -> %s streams=%t,%t\n", service.FullName(), m.Name(), m.Input().FullName(), m.Output().FullName(),
				m.IsStreamingClient(), m.IsStreamingServer())
		}
	}
	for i := range file.Messages().Len() {
		message := file.Messages().Get(i)
		fmt.Fprintf(&out, "message %s\n", message.FullName())
		for k := range message.Fields().Len() {
			f := message.Fields().Get(k)
			fmt.Fprintf(&out, "  %d %s %s %s\n", f.Number(), f.Name(), f.Cardinality(), f.Kind())
		}
	}
	for i := range file.Enums().Len() {
		enum := file.Enums().Get(i)
		fmt.Fprintf(&out, "enum %s\n", enum.FullName())
		for k := range enum.Values().Len() {
			fmt.Fprintf(&out, "  %d %s\n", enum.Values().Get(k).Number(), enum.Values().Get(k).Name())
		}
	}
	return out.String()
}

package controller

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
)

// traceDirVariable is the environment variable with the directory to which the wire trace of each scenario is written,
// compressed, together with its hash. It is no flag, since several packages run scenarios and the test binaries of
// other packages would reject an unknown flag.
const traceDirVariable = "BADGERBAY_TRACE_DIR"

// wireTrace records what the nodes of a scenario send, in its encoded form, so that traces of two versions of the code
// can be compared even if identifiers were renamed.
type wireTrace struct {
	sum  hash.Hash
	out  io.Writer // receives the text of the trace; nil: only the hash is computed
	line bytes.Buffer
}

func newWireTrace(out io.Writer) *wireTrace { return &wireTrace{sum: sha256.New(), out: out} }

// Sum returns the hash of the trace so far.
func (w *wireTrace) Sum() string { return hex.EncodeToString(w.sum.Sum(nil)) }

func (w *wireTrace) printf(format string, args ...any) {
	w.line.Reset()
	fmt.Fprintf(&w.line, format, args...)
	w.line.WriteByte('\n')
	w.sum.Write(w.line.Bytes())
	if w.out != nil {
		w.out.Write(w.line.Bytes())
	}
}

// traceToFile starts a trace of the scenario to a file named after its test, if the environment variable is set. When
// the test ends, the stored records are appended to the trace.
func (s *simulation) traceToFile() {
	dir := os.Getenv(traceDirVariable)
	if dir == "" {
		return
	}
	name := strings.NewReplacer("/", "__", " ", "_", ",", "").Replace(s.t.Name())
	var file *os.File
	var err error
	for n := 0; file == nil; n++ { // a test may run several scenarios in sequence
		path := filepath.Join(dir, fmt.Sprintf("%s.%d.trace.gz", name, n))
		file, err = os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil && !os.IsExist(err) {
			s.t.Fatal(err)
		}
	}
	zipped := gzip.NewWriter(file)
	s.trace = newWireTrace(zipped)
	s.t.Cleanup(func() {
		s.traceRecords()
		if err := cmp.Or(zipped.Close(), file.Close()); err != nil {
			s.t.Error(err)
		}
		sum := []byte(s.trace.Sum() + "\n")
		if err := os.WriteFile(strings.TrimSuffix(file.Name(), ".trace.gz")+".sum", sum, 0o600); err != nil {
			s.t.Error(err)
		}
	})
}

// traceRecords adds all stored records to the trace.
func (s *simulation) traceRecords() {
	s.store.Down = false
	items, revision, err := s.store.List("")
	if err != nil {
		s.t.Error(err)
	}
	s.trace.printf("%d stored revision=%d", s.now, revision)
	for _, item := range items {
		s.trace.printf("%d stored %s=%s stamp=%d", s.now, item.Key, canonical(item.Value), item.ModRevision)
	}
}

// traceEffect adds an effect of a node to the trace.
func (s *simulation) traceEffect(n *simulatedNode, e Effect) {
	if s.trace == nil {
		return
	}
	s.trace.printf("%d %s/%d %s", s.now, n.name, n.incarnation, wireForm(e))
}

// workerStatus is the HTTP status with which a worker receives the outcome of its heartbeat.
var workerStatus = map[HeartbeatOutcome]int{HeartbeatAccepted: 200, HeartbeatRedirected: 421, HeartbeatUnavailable: 503}

// wireForm returns what an effect sends, in its encoded form.
func wireForm(e Effect) string {
	switch e := e.(type) {
	case HeartbeatReply:
		return fmt.Sprintf("heartbeat-reply code=%d leader=%q until=%d relayed=%t final=%t body=%s", workerStatus[e.Outcome], e.Leader, e.ValidUntil, e.Relayed, e.Final,
			encoded(fleet.EncodeHeartbeatResponse(e.Epoch, e.Commands)))
	case JobReply:
		return fmt.Sprintf("user-reply outcome=%d until=%d body=%s", e.Outcome, e.ValidUntil, encoded(api.EncodeStatus("", e.Status)))
	case DelegationReply:
		return "peer-reply body=" + encoded(msgpack.Marshal(peer.PackDelegationStatus(e.Status)))
	case QuotaReply:
		return "quota-reply body=" + encoded(msgpack.Marshal(e.Response))
	case QuotaStatusReply:
		return "quota-view"
	case ReadQuotaRecords:
		return fmt.Sprintf("read-quota epoch=%d", e.Epoch)
	case ReadRecords:
		return fmt.Sprintf("load epoch=%d", e.Epoch)
	case ReadJobRecord:
		return fmt.Sprintf("read-job job=%s", e.Job)
	case CommitTransaction:
		return fmt.Sprintf("commit kind=%d epoch=%d %s", e.Kind, e.Epoch, wireTxn(e.Txn))
	case SendCommands:
		return fmt.Sprintf("command machine=%s addr=%s body=%s", e.Machine, e.Addr, encoded(fleet.EncodeDirectCommands(e.Epoch, e.Session, e.Commands)))
	case ProvisionMachines:
		return fmt.Sprintf("hire name=%s type=%s zone=%s spot=%t count=%d", e.Name, e.Offer.Type, e.Offer.Zone, e.Offer.Spot, e.Count)
	case DeprovisionMachines:
		return fmt.Sprintf("release machines=%v", e.Machines)
	case ListMachines:
		return fmt.Sprintf("list since=%s", e.After)
	case ReadMachineTypes:
		return "list-types"
	case StopNode:
		return "stop"
	case ElectionEffect:
		return "lead " + electionWireForm(e.Effect)
	}
	return "unknown"
}

func electionWireForm(e election.Effect) string {
	switch e := e.(type) {
	case election.ReadLeaderKeys:
		return "read"
	case election.GrantLease:
		return fmt.Sprintf("grant life=%v", e.TTL)
	case election.RenewLease:
		return fmt.Sprintf("renew lease=%d", e.LeaseID)
	case election.AcquireLeaderKey:
		return "acquire " + wireTxn(e.Txn())
	case election.RewriteLeaderKey:
		return "advance " + wireTxn(e.Txn())
	case election.WriteHeartbeat:
		return "heartbeat " + wireTxn(e.Txn())
	case election.TransferLeadership:
		return "transfer " + wireTxn(e.Txn())
	case election.RevokeLease:
		return fmt.Sprintf("revoke lease=%d", e.LeaseID)
	}
	return "unknown"
}

// wireTxn returns a transaction as the state service receives it.
func wireTxn(t kvstore.Txn) string {
	var out strings.Builder
	for _, g := range t.Conditions {
		fmt.Fprintf(&out, "if %s=%d ", g.Key, g.ModRevision)
	}
	for _, w := range t.Operations {
		fmt.Fprintf(&out, "set=%s remove=%s lease=%d value=%s ", w.SetKey, w.DeleteKey, w.LeaseID, encoded(msgpack.Marshal(w.Value)))
	}
	return out.String()
}

// encoded returns the canonical form of an encoded body, or the text of the encoding error.
func encoded(body []byte, err error) string {
	if err != nil {
		return err.Error()
	}
	return canonical(body)
}

// canonical returns MessagePack data as text with the keys of maps in order, or in hexadecimal if it can't be decoded.
func canonical(body []byte) string {
	var v any
	if err := msgpack.Unmarshal(body, &v); err != nil {
		return fmt.Sprintf("%x", body)
	}
	var out strings.Builder
	writeCanonical(&out, v)
	return out.String()
}

func writeCanonical(out *strings.Builder, v any) {
	switch v := v.(type) {
	case map[string]any:
		out.WriteByte('{')
		for _, key := range slices.Sorted(maps.Keys(v)) {
			fmt.Fprintf(out, "%s:", key)
			writeCanonical(out, v[key])
			out.WriteByte(' ')
		}
		out.WriteByte('}')
	case []any:
		out.WriteByte('[')
		for _, element := range v {
			writeCanonical(out, element)
			out.WriteByte(' ')
		}
		out.WriteByte(']')
	case string:
		fmt.Fprintf(out, "%q", v)
	case []byte:
		fmt.Fprintf(out, "x%x", v)
	default:
		fmt.Fprintf(out, "%v", v)
	}
}

// TestScenariosAreDeterministicBySeed checks that a scenario that runs again with the same seed sends exactly the same
// messages, so that a failure can be reproduced from its seed and the decisions of two versions can be compared.
func TestScenariosAreDeterministicBySeed(t *testing.T) {
	t.Parallel()
	var sums []string
	for range 2 {
		s := newSimulationWithPolicy(t, 17, teamQuotasPolicy)
		s.trace = newWireTrace(nil)
		s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability = 0.02, 0.05, 0.05
		s.faultsActive = true
		s.repeatWhileFaultsActive(10*sec, 20*sec, s.injectRandomFault)
		s.submitMixedLoad()
		for i := range 6 {
			s.submit(600+i, gangSpec, 12*sec)
		}
		s.schedule(5*sec, func() { s.cancelJob("wk-000003") })
		s.runFor(60 * sec)
		s.healAndFinish()
		s.traceRecords()
		sums = append(sums, s.trace.Sum())
	}
	if sums[0] != sums[1] {
		t.Errorf("two runs with the same seed have the trace hashes %s and %s", sums[0], sums[1])
	}
}

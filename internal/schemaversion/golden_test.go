package schemaversion_test

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/schemaversion"
)

// TestGoldenAgreement checks that recorded values of the agreement are decoded to the expected versions and encoded
// again without a change, and that the key of the agreement is unchanged.
func TestGoldenAgreement(t *testing.T) {
	if schemaversion.Key != "form" {
		t.Errorf("the agreement is stored under key %q, want \"form\"", schemaversion.Key)
	}
	data, err := os.ReadFile("testdata/golden/agreement.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	versions := []schemaversion.Version{schemaversion.First, schemaversion.ChunkedJobs, schemaversion.ChunkedRounds, 99}
	if len(lines) != len(versions) {
		t.Fatalf("%d recorded values, want %d", len(lines), len(versions))
	}
	for i, want := range versions {
		recorded, text, _ := strings.Cut(lines[i], " ")
		value, err := hex.DecodeString(recorded)
		if err != nil {
			t.Fatal(err)
		}
		var fromMsgpack, fromJSON schemaversion.Agreement
		if err := msgpack.Unmarshal(value, &fromMsgpack); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal([]byte(text), &fromJSON); err != nil {
			t.Fatal(err)
		}
		if fromMsgpack.Version != want || fromJSON.Version != want {
			t.Errorf("%s: decoded versions %d and %d, want %d", lines[i], fromMsgpack.Version, fromJSON.Version, want)
		}
		if again, err := msgpack.Marshal(fromMsgpack); err != nil || hex.EncodeToString(again) != recorded {
			t.Errorf("%s: encoded as %x, %v", recorded, again, err)
		}
		if again, err := json.Marshal(fromJSON); err != nil || string(again) != text {
			t.Errorf("%s: encoded as %s, %v", text, again, err)
		}
	}
}

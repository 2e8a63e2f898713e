package ident

import "testing"

// TestParseTaskID checks that ParseTaskID reads back what TaskID.String returns, and rejects
// malformed IDs.
func TestParseTaskID(t *testing.T) {
	for _, s := range []string{"wk-000412/3", "wk-1234567/0"} {
		id, err := ParseTaskID(s)
		if err != nil || id.String() != s {
			t.Errorf("ParseTaskID(%q) = %v, %v", s, id, err)
		}
	}
	for _, s := range []string{"", "wk-000412", "wk-000412/", "wk-000412/-1", "wk-00x412/1", "wk-000412/9999999999", "job-000412/1"} {
		if id, err := ParseTaskID(s); err == nil {
			t.Errorf("ParseTaskID(%q) = %v, want an error", s, id)
		}
	}
}

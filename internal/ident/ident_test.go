package ident

import "testing"

func TestParseTaskID(t *testing.T) {
	for _, s := range []string{"wk-000412/3", "wk-1234567/0"} {
		id, err := ParseTaskID(s)
		if err != nil || id.String() != s {
			t.Errorf("%q: %v, %v", s, id, err)
		}
	}
	for _, s := range []string{"", "wk-000412", "wk-000412/", "wk-000412/-1", "wk-00x412/1", "wk-000412/9999999999", "job-000412/1"} {
		if id, err := ParseTaskID(s); err == nil {
			t.Errorf("%q read as %v", s, id)
		}
	}
}

package wire

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestDoBoundsTheResponse checks that Do returns a body as long as the limit, and ErrResponseTooLarge for a
// longer one.
func TestDoBoundsTheResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		if _, err := io.WriteString(w, "0123456789"); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	for _, test := range []struct {
		limit int64
		err   error
	}{{10, nil}, {9, ErrResponseTooLarge}} {
		req, err := NewRequest(context.Background(), http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		status, body, err := Do(server.Client(), req, test.limit)
		if !errors.Is(err, test.err) || err == nil && (status != http.StatusAccepted || string(body) != "0123456789") {
			t.Errorf("limit %d: status %d, body %q, %v", test.limit, status, body, err)
		}
	}
}

package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// ContentType is the media type of every request and response body.
const ContentType = "application/msgpack"

// ErrResponseTooLarge is returned when a response body exceeds the limit passed to Do.
var ErrResponseTooLarge = errors.New("response too large")

// NewRequest returns a request whose body, unless nil, is encoded as MessagePack.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := msgpack.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encoding: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", ContentType)
	return req, nil
}

// Do sends a request and returns the status code and the body of the response. It returns
// ErrResponseTooLarge if the body is longer than limit bytes.
func Do(client *http.Client, req *http.Request, limit int64) (int, []byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(data)) > limit {
		return 0, nil, ErrResponseTooLarge
	}
	return resp.StatusCode, data, nil
}

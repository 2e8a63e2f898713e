package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

const (
	clientTimeout    = 5 * time.Second
	maxResponseBytes = 64 << 10
)

// clientFlags are the flags of all commands that send a request to a node.
type clientFlags struct {
	Addr string `required:"" placeholder:"IP:PORT" env:"BADGERBAY_ADDR" help:"Address of a controller node or its load balancer."`
}

type submitCmd struct {
	clientFlags
	File string `arg:"" help:"Job as JSON; - for standard input."`
}

// Run submits the job and prints the response.
func (c *submitCmd) Run() error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	job, err := decodeJob(data)
	if err != nil {
		return fmt.Errorf("%s is not a JSON object: %w", c.File, err)
	}
	body, err := msgpack.Marshal(job)
	if err != nil {
		return err
	}
	return c.call(http.MethodPost, "/submissions", body)
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// decodeJob decodes a JSON object. A number that is written as an integer stays an integer, because the
// controller accepts only integers for counts.
func decodeJob(data []byte) (map[string]any, error) {
	var job map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&job); err != nil {
		return nil, err
	}
	for name, value := range job {
		job[name] = convertNumbers(value)
	}
	return job, nil
}

// convertNumbers returns the value with each json.Number in it converted to int64 or float64.
func convertNumbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64() // out of range: f is infinite, and the controller rejects it
		return f
	case map[string]any:
		for name, element := range v {
			v[name] = convertNumbers(element)
		}
	case []any:
		for i, element := range v {
			v[i] = convertNumbers(element)
		}
	}
	return v
}

type statusCmd struct {
	clientFlags
	ID string `arg:"" help:"Job id."`
}

// Run requests the state of the job and prints the response.
func (c *statusCmd) Run() error { return c.call(http.MethodGet, "/submissions/"+c.ID, nil) }

type cancelCmd struct {
	clientFlags
	ID string `arg:"" help:"Job id."`
}

// Run cancels the job and prints the response.
func (c *cancelCmd) Run() error {
	return c.call(http.MethodPost, "/submissions/"+c.ID+"/withdraw", nil)
}

type standbyCmd struct{ clientFlags }

// Run prints whether the node is the leader and, if it is not, whether it is ready to take over.
func (c *standbyCmd) Run() error { return c.call(http.MethodGet, "/standby", nil) }

type quotaCmd struct{ clientFlags }

// Run prints the node's allocations from the teams' limits and, on the leader, the teams' usage.
func (c *quotaCmd) Run() error { return c.call(http.MethodGet, "/quota", nil) }

// call sends a request to the node and prints its response as JSON.
func (c *clientFlags) call(method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := (&http.Client{Timeout: clientTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return statusError(resp)
	}
	var response map[string]any
	if err := msgpack.Unmarshal(data, &response); err != nil {
		return fmt.Errorf("answer can't be read: %w", err)
	}
	return json.NewEncoder(os.Stdout).Encode(response)
}

// statusError returns the error for a response whose status is neither 200 nor 201.
func statusError(resp *http.Response) error {
	if retryAfter := resp.Header.Get("Retry-After"); retryAfter != "" {
		return fmt.Errorf("%s; come back in %s s", resp.Status, retryAfter)
	}
	return errors.New(resp.Status)
}

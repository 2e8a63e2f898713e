package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const clientTimeout = 5 * time.Second

type clientFlags struct {
	Addr string `required:"" placeholder:"IP:PORT" env:"BADGERBAY_ADDR" help:"Address of a controller node or its load balancer."`
}

type submitCmd struct {
	clientFlags
	File string `arg:"" help:"Job as JSON; - for standard input."`
}

// Run submits the job and prints the answer.
func (c *submitCmd) Run() error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	var job map[string]any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&job); err != nil {
		return fmt.Errorf("%s is not a JSON object: %w", c.File, err)
	}
	body, err := msgpack.Marshal(decodeNumbers(job))
	if err != nil {
		return err
	}
	return c.call(http.MethodPost, "/submissions", body)
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// decodeNumbers turns the numbers of JSON into whole or decimal numbers, as written.
func decodeNumbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64()
		return f
	case map[string]any:
		for k, e := range v {
			v[k] = decodeNumbers(e)
		}
	case []any:
		for i, e := range v {
			v[i] = decodeNumbers(e)
		}
	}
	return v
}

type statusCmd struct {
	clientFlags
	ID string `arg:"" help:"Job id."`
}

// Run prints the state of the job.
func (c *statusCmd) Run() error { return c.call(http.MethodGet, "/submissions/"+c.ID, nil) }

type cancelCmd struct {
	clientFlags
	ID string `arg:"" help:"Job id."`
}

// Run cancels the job and prints the answer.
func (c *cancelCmd) Run() error {
	return c.call(http.MethodPost, "/submissions/"+c.ID+"/withdraw", nil)
}

type standbyCmd struct{ clientFlags }

// Run prints how the node stands to the leader.
func (c *standbyCmd) Run() error { return c.call(http.MethodGet, "/standby", nil) }

type quotaCmd struct{ clientFlags }

// Run prints what the node holds of the teams' limits and, at the leader, how the teams
// stand.
func (c *quotaCmd) Run() error { return c.call(http.MethodGet, "/quota", nil) }

func (c *clientFlags) call(method, path string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/msgpack")
	resp, err := (&http.Client{Timeout: clientTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return statusError(resp)
	}
	var answer map[string]any
	if err := msgpack.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("answer can't be read: %w", err)
	}
	return json.NewEncoder(os.Stdout).Encode(answer)
}

func statusError(resp *http.Response) error {
	if after := resp.Header.Get("Retry-After"); after != "" {
		return fmt.Errorf("%s; come back in %s s", resp.Status, after)
	}
	return fmt.Errorf("%s", resp.Status)
}

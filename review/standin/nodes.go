package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// node is one controller: a process of the project's own program.
type node struct {
	name, zone   string
	client, mesh string
	config       string
	command      []string // of the deploy file, without the settings file
	rec          *recorder

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// Ports of the nodes. They lie below those that the system gives to other listeners and connections, so that
// none of these takes a port before its node is started.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// freeAddr returns a loopback address with a port that nothing uses.
func freeAddr() (string, error) {
	const tries = 100
	for range tries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port found")
}

// newNodes writes the settings files of the nodes and returns the nodes, not started.
func newNodes(dir string, command []string, zones []string, params map[string]any, external map[string]string, rec *recorder) ([]*node, error) {
	var nodes []*node
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("shamba-%d", i), zone: zone, command: command, rec: rec}
		var err error
		if n.client, err = freeAddr(); err != nil {
			return nil, err
		}
		if n.mesh, err = freeAddr(); err != nil {
			return nil, err
		}
		n.config = filepath.Join(dir, n.name+".json")
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		peers := []map[string]any{}
		for _, other := range nodes {
			if other != n {
				peers = append(peers, map[string]any{"label": other.name, "location": other.zone, "peer_addr": other.mesh})
			}
		}
		settings := map[string]any{"label": n.name, "location": n.zone, "client_listen": n.client, "mesh_addr": n.mesh,
			"peers": peers, "external": external, "params": params}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.config, data, 0o600); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// start starts the node's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.command[0], append(n.command[1:len(n.command):len(n.command)], n.config)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		log.Close()
		n.rec.logf("node %s: process ended: %v", n.name, err)
		close(done)
	}()
	n.cmd, n.done = cmd, done
	n.rec.logf("node %s: started, process %d, %s", n.name, cmd.Process.Pid, n.client)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill ends the node's process with SIGKILL and waits until it has ended.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.done
	n.cmd = nil
}

// residentMB returns the memory that the process holds, in MiB; 0 if it is not known.
func (n *node) residentMB() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// copyLogs copies the lines of the nodes' logs that contain one of the words to the record: of each node the
// first lines for each word, and the number of the others.
func copyLogs(rec *recorder, nodes []*node, words ...string) {
	const most = 8
	for _, n := range nodes {
		data, err := os.ReadFile(n.config + ".log")
		if err != nil {
			continue
		}
		found := map[string]int{}
		for line := range strings.Lines(string(data)) {
			at := slices.IndexFunc(words, func(word string) bool { return strings.Contains(line, word) })
			if at < 0 {
				continue
			}
			if found[words[at]]++; found[words[at]] <= most {
				rec.logf("log of %s: %s", n.name, strings.TrimSpace(line))
			}
		}
		for _, word := range words {
			if more := found[word] - most; more > 0 {
				rec.logf("log of %s: %d more lines with %q", n.name, more, word)
			}
		}
	}
}

// waitUntil polls a condition and reports whether it held within the limit and before ctx ended.
func waitUntil(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 20*time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

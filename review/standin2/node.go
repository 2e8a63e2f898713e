package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is one controller: a process of the project's program.
type node struct {
	label, zone  string
	clientAddr   string
	meshAddr     string
	settingsPath string
	logPath      string
	workerLink   *link
	userLink     *link
	command      []string
	log          *recorder

	process *exec.Cmd
	exited  chan struct{}
	stopped bool // the case has ended the process
	env     []string
}

// deployCommand returns the command of the deploy file that starts a controller.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if match == nil {
		return nil, errors.New("deploy/service.toml has no run command")
	}
	return strings.Fields(string(match[1])), nil
}

// freeAddrs returns n different addresses for controllers to listen on. No stand-in listens on the same IP address.
func freeAddrs(n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners { // closed when all are found, so that none is found twice
			l.Close()
		}
	}()
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp4", controllerLoopback+":0")
		if err != nil {
			return nil, err
		}
		listeners, addrs = append(listeners, listener), append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// startNodes starts the controllers, with a proxy between each two of them.
func (w *world) startNodes(ctx context.Context, dir string, zones []string) (map[[2]int]*link, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(2 * len(zones))
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		n := &node{label: fmt.Sprintf("shamba-%d", i), zone: zone, clientAddr: addrs[2*i], meshAddr: addrs[2*i+1], workerLink: newLink(),
			userLink: newLink(), command: command, log: w.log}
		n.settingsPath = filepath.Join(dir, n.label+".json")
		n.logPath = filepath.Join(dir, n.label+".log")
		w.nodes = append(w.nodes, n)
	}
	mesh := map[[2]int]*link{}
	for i, n := range w.nodes {
		s := settings{Label: n.label, Location: n.zone, ClientListen: n.clientAddr, MeshAddr: n.meshAddr,
			External: external{Cloud: w.cloud.addr, State: w.state.addrs[i]}, Params: w.params}
		for k, other := range w.nodes {
			if k == i {
				continue
			}
			mesh[[2]int{i, k}] = newLink()
			p, proxyErr := startProxy(ctx, other.meshAddr, mesh[[2]int{i, k}])
			if proxyErr != nil {
				return nil, proxyErr
			}
			s.Peers = append(s.Peers, peer{Label: other.label, Location: other.zone, PeerAddr: p.addr()})
		}
		data, marshalErr := json.MarshalIndent(s, "", "  ")
		if marshalErr != nil {
			return nil, marshalErr
		}
		if err = os.WriteFile(n.settingsPath, data, 0o600); err != nil {
			return nil, err
		}
	}
	return mesh, nil
}

// start starts the process.
func (n *node) start() error {
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.process = exec.Command(n.command[0], append(n.command[1:], n.settingsPath)...)
	n.process.Stderr = out
	n.process.Env = append(os.Environ(), n.env...)
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited, n.stopped = make(chan struct{}), false
	n.log.add("controller %s started", n.label)
	go func(process *exec.Cmd, exited chan struct{}) {
		err := process.Wait()
		n.log.add("controller %s ended: %v", n.label, err)
		close(exited)
	}(n.process, n.exited)
	return nil
}

// kill ends the process without a warning.
func (n *node) kill() {
	n.stopped = true
	n.process.Process.Kill()
	<-n.exited
}

func (n *node) signal(s syscall.Signal) {
	n.log.add("controller %s: signal %v", n.label, s)
	n.process.Process.Signal(s)
}

// endedByItself reports whether the process has ended although the case has not ended it.
func (n *node) endedByItself() bool {
	select {
	case <-n.exited:
		return !n.stopped
	default:
		return false
	}
}

// waitReady waits until the health check of the controller succeeds.
func (n *node) waitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if status, _, err := request("GET", "http://"+n.clientAddr+"/up", nil, time.Second); err == nil && status == 200 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

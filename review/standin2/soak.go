package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// soak plays random troubles, to look for broken rules.
func soak(s *scene) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	if rng.IntN(2) == 0 {
		s.params.Workers = workerParams{ReportS: 1, LeaseS: 10, GangWaitS: 20, GangPeerS: 6, CancelS: 40}
	}
	s.policy = func() []string {
		switch os.Getenv("FEATURES") {
		case "on":
			return []string{"BADGERBAY_POLICY=" + os.Getenv("FEATFILE")}
		case "mixed":
			if rand.IntN(2) == 0 {
				return []string{"BADGERBAY_POLICY=" + os.Getenv("FEATFILE")}
			}
		}
		return nil
	}
	zones := []string{"ankara", "istanbul", "ankara"}
	if os.Getenv("NODES") == "5" {
		zones = append(zones, "istanbul", "ankara")
	}
	if err := s.begin(zones); err != nil {
		return err
	}
	s.repeats = func() bool { return rand.IntN(20) == 0 }
	s.state.fault = func(int, string, string) requestFault {
		if time.Now().Unix()/7%3 != 0 || rand.IntN(4) != 0 {
			return requestFault{}
		}
		return requestFault{before: time.Duration(rand.IntN(2500)) * time.Millisecond * time.Duration(rand.IntN(2)),
			after: time.Duration(rand.IntN(2000)) * time.Millisecond * time.Duration(rand.IntN(2)), lost: rand.IntN(2) == 0}
	}
	var users sync.WaitGroup
	stop := time.Now().Add(95 * time.Second)
	users.Go(func() {
		for i := 1; time.Now().Before(stop); i++ {
			sub, run, cancelAfter := randomJob(rng, i)
			j := s.addJob(sub, run)
			users.Go(func() {
				if s.submit(s.ctx, j, sub, -1) {
					s.follow(s.ctx, j, time.Second, cancelAfter)
				}
			})
			sleep(s.ctx, time.Duration(300+rng.IntN(1500))*time.Millisecond)
		}
	})
	trouble := rand.New(rand.NewPCG(seed, 2))
	sleep(s.ctx, 8*time.Second)
	for time.Now().Before(stop) && s.ctx.Err() == nil {
		for range 1 + trouble.IntN(2) {
			go s.randomTrouble(rand.New(rand.NewPCG(trouble.Uint64(), 3)))
		}
		sleep(s.ctx, time.Duration(3+trouble.IntN(12))*time.Second)
	}
	<-s.ctx.Done()
	for _, n := range s.nodes {
		if n.endedByItself() {
			return nil
		}
	}
	return nil
}

func randomJob(rng *rand.Rand, i int) (submission, time.Duration, time.Duration) {
	s := submission{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "kontrolor-00", Shape: "batch", Rank: "standard", Tasks: 1 + rng.IntN(8), CPUs: 1,
		MemoryGB: 2, Image: fmt.Sprintf("img-%d", rng.IntN(4)), ImageGB: 1, ExpectedS: 5, Spot: rng.IntN(2) == 0}
	run := time.Duration(1+rng.IntN(12)) * time.Second
	cancelAfter := time.Duration(0)
	kinds := 4
	if os.Getenv("FEATURES") != "" {
		kinds = 8 // most jobs are of the team with a limit
	}
	switch rng.IntN(kinds) {
	case 0:
		s.Shape, s.Rank, run, s.Tasks, s.Spread = "service", "prod", 0, 1+rng.IntN(4), true
	case 1:
		s.Shape, s.Tasks, s.OneZone = "group", 2+rng.IntN(3), true
	case 2, 4, 5, 6, 7:
		s.Team = "limited"
		s.Rank = []string{"best_effort", "high"}[rng.IntN(2)]
	}
	if rng.IntN(3) == 0 || run == 0 {
		cancelAfter = time.Duration(1+rng.IntN(25)) * time.Second
	}
	return s, run, cancelAfter
}

// randomTrouble brings about one random trouble, and ends it.
func (s *scene) randomTrouble(rng *rand.Rand) {
	length := time.Duration(1+rng.IntN(35)) * time.Second
	i := rng.IntN(len(s.nodes))
	if rng.IntN(2) == 0 {
		if k := s.nodeIndex(s.state.leader()); k >= 0 {
			i = k
		}
	}
	n := s.nodes[i]
	mode := []linkMode{linkHeld, linkReset, linkRefuse}[rng.IntN(3)]
	hold := []linkMode{linkHeld, linkReset}[rng.IntN(2)]
	kind := rng.IntN(13)
	s.log.add("TROUBLE kind %d node %s mode %d for %v", kind, n.label, mode, length)
	during := func(m linkMode, links ...*link) {
		for _, l := range links {
			l.set(m)
		}
		sleep(s.ctx, length)
		for _, l := range links {
			l.set(linkUp)
		}
	}
	var meshOf []*link
	for k := range s.nodes {
		if k != i {
			meshOf = append(meshOf, s.mesh[[2]int{i, k}], s.mesh[[2]int{k, i}])
		}
	}
	switch kind {
	case 0, 1:
		s.restart(n, time.Duration(rng.IntN(6000))*time.Millisecond*time.Duration(rng.IntN(2)))
	case 2:
		during(mode, s.state.links[i])
	case 3:
		during(hold, n.workerLink)
	case 4:
		during(hold, append(meshOf, s.state.links[i], n.workerLink, n.userLink)...)
	case 5:
		during(linkRefuse, meshOf...)
	case 6:
		n.signal(syscall.SIGSTOP)
		sleep(s.ctx, length/2)
		n.signal(syscall.SIGCONT)
	case 7:
		s.state.setOutage(true)
		sleep(s.ctx, length)
		s.state.setOutage(false)
	case 8, 9:
		s.mu.Lock()
		var chosen *machine
		for _, m := range s.running {
			if kind != 9 || !s.hasGang(m) {
				chosen = m
			}
		}
		if chosen != nil && kind == 9 {
			chosen.hung = true
		}
		s.mu.Unlock()
		if chosen == nil {
			return
		}
		s.log.add("TROUBLE machine %s kind %d", chosen.worker.ID, kind)
		if kind == 8 {
			during(hold, chosen.link)
			return
		}
		sleep(s.ctx, length)
		s.mu.Lock()
		chosen.hung = false
		s.mu.Unlock()
	case 11, 12:
		s.mu.Lock()
		for id, m := range s.running {
			if rng.IntN(2) == 0 || !m.takenAt.IsZero() {
				continue
			}
			wait := time.Duration(0)
			if kind == 12 {
				wait = time.Duration(rng.IntN(15)) * time.Second
				m.takenAt = time.Now().Add(wait)
			}
			go func() {
				sleep(s.ctx, wait)
				s.mu.Lock()
				s.removeMachine(id)
				s.mu.Unlock()
			}()
		}
		s.mu.Unlock()
	case 10:
		for _, other := range s.nodes {
			s.restart(other, 2*time.Second)
			sleep(s.ctx, 2*time.Second)
		}
	}
}

// restart kills a controller and starts it again after a delay.
func (s *scene) restart(n *node, after time.Duration) {
	s.mu.Lock()
	busy := n.stopped
	n.stopped = true
	s.mu.Unlock()
	if busy {
		return
	}
	n.process.Process.Signal(syscall.SIGCONT)
	n.process.Process.Kill()
	<-n.exited
	sleep(s.ctx, after)
	if s.policy != nil {
		n.env = s.policy()
	}
	if err := n.start(); err != nil {
		s.log.add("controller %s did not start: %v", n.label, err)
	}
}

// hasGang reports whether a task of a gang is on the machine.
func (s *scene) hasGang(m *machine) bool {
	for id, place := range s.places {
		if place == m.worker.ID && s.jobs[id.Job].spec.Gang {
			return true
		}
	}
	return false
}

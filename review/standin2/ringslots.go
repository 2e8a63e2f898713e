package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// lastRound returns the highest number of a round that the state service holds.
func (s *stateService) lastRound() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, _, err := s.kv.Store.List("round/")
	if err != nil {
		return 0
	}
	last := uint64(0)
	for _, item := range items {
		var round struct {
			No uint64 `msgpack:"no"`
		}
		if msgpack.Unmarshal(item.Value, &round) == nil {
			last = max(last, round.No)
		}
	}
	return last
}

// smallArray returns an array of one short task.
func smallArray(i int) submission {
	return submission{ID: fmt.Sprintf("wk-%06d", i), Class: "arsiv", Team: "kontrolor-00", Shape: "batch", Rank: "standard", Tasks: 1, CPUs: 1,
		MemoryGB: 2, Image: "img-1", ImageGB: 0.5, ExpectedS: 1}
}

// ringSlots restarts the controllers one after the other, with the operators' script that raises ring_slots.
func ringSlots(s *scene) error {
	if err := s.begin([]string{"istanbul", "ankara", "istanbul"}); err != nil {
		return err
	}
	const enoughRounds = 50 // more than the 32 slots that are the default
	next := 1
	for deadline := time.Now().Add(45 * time.Second); s.state.lastRound() < enoughRounds; next++ {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d rounds were stored", s.state.lastRound())
		}
		sub := smallArray(next)
		j := s.addJob(sub, time.Second)
		if !s.submit(s.ctx, j, sub, -1) {
			return fmt.Errorf("job %s was not accepted", sub.ID)
		}
		go s.follow(s.ctx, j, 5*time.Second, 0)
		sleep(s.ctx, 250*time.Millisecond)
	}
	s.log.add("%d rounds are stored", s.state.lastRound())
	if s.trouble {
		script := filepath.Join(s.dir, "operators.star")
		if err := os.WriteFile(script, []byte("ring_slots = 48\n"), 0o600); err != nil {
			return err
		}
		for _, n := range s.nodes {
			n.env = []string{"BADGERBAY_POLICY=" + script}
		}
		s.log.add("the operators' script sets ring_slots = 48; the controllers read it as they are restarted")
	}
	for i, n := range s.nodes {
		if i > 0 {
			sleep(s.ctx, 9*time.Second) // a restart every 15 s
		}
		s.restart(n, 6*time.Second)
		if !n.waitReady(15 * time.Second) {
			return fmt.Errorf("controller %s is not healthy after its restart", n.label)
		}
	}
	sub := smallArray(next)
	j := s.addJob(sub, time.Second)
	if !s.submit(s.ctx, j, sub, -1) {
		return fmt.Errorf("job %s was not accepted", sub.ID)
	}
	go s.follow(s.ctx, j, 5*time.Second, 0)
	if !s.waitFor(45*time.Second, func() bool { return j.started > 0 }) {
		s.mu.Lock()
		s.breach("accepted job must run", "job %s was accepted, and has not started for 45 s; %d machines are up", sub.ID, len(s.running))
		s.mu.Unlock()
		s.log.add("%d rounds are stored", s.state.lastRound())
	}
	return nil
}

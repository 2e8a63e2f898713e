package main

import (
	"fmt"
	"time"
)

// tinyJob returns an array of many tasks that each take a small share of a processor.
func tinyJob(id string, tasks int, cpus float64, expected time.Duration) submission {
	return submission{ID: id, Class: "mutabakat", Team: "kontrolor-00", Shape: "batch", Rank: "standard", Tasks: tasks, CPUs: cpus, MemoryGB: 0.01,
		Image: "img-1", ImageGB: 0.5, ExpectedS: expected.Seconds(), Types: []string{"orta"}}
}

// largeReport submits an array whose tasks all fit on one machine.
func largeReport(s *scene) error {
	if err := s.begin([]string{"istanbul", "ankara", "istanbul"}); err != nil {
		return err
	}
	service := submission{ID: "wk-000001", Class: "yevmiye", Team: "kontrolor-00", Shape: "service", Rank: "prod", Tasks: 1, CPUs: 1, MemoryGB: 3,
		Image: "img-0", ImageGB: 0.8, Types: []string{"orta"}}
	replica := s.addJob(service, 0)
	if !s.submit(s.ctx, replica, service, -1) {
		return fmt.Errorf("the service was not accepted")
	}
	if !s.waitFor(30*time.Second, func() bool { return replica.started > 0 }) {
		return fmt.Errorf("the service did not start")
	}
	tasks := 300
	if s.trouble {
		tasks = 2800
	}
	array := tinyJob("wk-000002", tasks, 0.005, 40*time.Second)
	j := s.addJob(array, 40*time.Second)
	if !s.submit(s.ctx, j, array, -1) {
		return fmt.Errorf("the array was not accepted")
	}
	go s.follow(s.ctx, j, 5*time.Second, 0)
	go s.follow(s.ctx, replica, 5*time.Second, 0)
	if !s.waitFor(90*time.Second, func() bool { return j.final == "done" }) {
		s.mu.Lock()
		s.breach("accepted job must run", "array: %d starts of %d tasks, %d done; service: %d starts", j.started, tasks, len(j.done), replica.started)
		s.mu.Unlock()
	}
	return nil
}

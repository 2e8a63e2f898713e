package main

import (
	"fmt"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// lostBoot submits an array with a deadline, for which the cloud has ordinary machines only. With trouble, the machine
// that is requested for it never comes up.
func lostBoot(s *scene) error {
	zones := []ident.Zone{"ankara", "bursa", "istanbul", "izmir"}
	s.params.Zones = []string{"ankara", "bursa", "istanbul", "izmir"}
	s.params.Objectives = []objective{{Kind: "wait", Class: "yevmiye", WithinS: 8, Share: 0.93}, {Kind: "deadline", Class: "mutabakat", Share: 0.9}}
	s.machines.Types = []*fleet.MachineType{
		{Name: "orta", Capacity: jobs.Resources{CPUs: 16, MemoryGB: 64}, CacheGB: 80, FetchGBps: 0.6, HourlyPrice: 1.02, HourlySpotPrice: 0.31, BootTime: 15 * time.Second, Zones: zones},
		{Name: "buyuk", Capacity: jobs.Resources{CPUs: 32, MemoryGB: 256}, CacheGB: 70, FetchGBps: 1, HourlyPrice: 2.2, HourlySpotPrice: 0.69, BootTime: 20 * time.Second, Zones: zones},
	}
	s.machines.Capacity = map[cloud.Offer]int{}
	for _, z := range zones {
		s.machines.Capacity[cloud.Offer{Type: "orta", Zone: z}] = 5
		s.machines.Capacity[cloud.Offer{Type: "buyuk", Zone: z}] = 4
	}
	if err := s.begin([]string{"istanbul", "ankara", "istanbul"}); err != nil {
		return err
	}
	for i, z := range s.params.Zones {
		service := submission{ID: fmt.Sprintf("wk-%06d", i+1), Class: "yevmiye", Team: "kontrolor-00", Shape: "service", Rank: "prod", Tasks: 1, CPUs: 1,
			MemoryGB: 3, Image: "img-0", ImageGB: 0.8, Types: []string{"orta"}, Zone: &z}
		j := s.addJob(service, 0)
		if !s.submit(s.ctx, j, service, -1) {
			return fmt.Errorf("service %s was not accepted", j.id)
		}
		go s.follow(s.ctx, j, 5*time.Second, 0)
	}
	if !s.waitFor(40*time.Second, func() bool { return len(s.running) >= len(zones) }) {
		return fmt.Errorf("the machines of the services are not up")
	}
	if s.trouble {
		failed := false
		s.mu.Lock()
		s.cloud.neverUp = func(o cloud.Offer) bool {
			lost := o.Type == "buyuk" && !o.Spot && !failed
			failed = failed || lost
			return lost
		}
		s.mu.Unlock()
	}
	due := 45.0 // twice the estimate and 15 s, as the owners of the class derive it
	array := submission{ID: "wk-000100", Class: "mutabakat", Team: "kontrolor-00", Shape: "batch", Rank: "standard", Tasks: 11, CPUs: 2, MemoryGB: 7.2,
		Image: "img-1", ImageGB: 1.5, ExpectedS: 15, Spot: true, Types: []string{"buyuk"}, DueS: &due}
	j := s.addJob(array, 20*time.Second)
	if !s.submit(s.ctx, j, array, -1) {
		return fmt.Errorf("the array was not accepted")
	}
	go s.follow(s.ctx, j, 5*time.Second, 0)
	if !s.waitFor(95*time.Second, func() bool { return j.final == "done" }) {
		s.mu.Lock()
		free := 0
		for offer, n := range s.machines.Capacity {
			if offer.Type == "buyuk" {
				free += n
			}
		}
		s.breach("accepted job must run", "array: %d of %d tasks were started within 95 s; the cloud has %d more machines that it allows", j.started, array.Tasks, free)
		s.mu.Unlock()
	}
	return nil
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
)

// BenchmarkAdmission measures how many jobs holders admit, and how many changes that takes, when five jobs a second
// are submitted to each node for a minute. Asking the leader instead would take a request and a change for every job.
func BenchmarkAdmission(b *testing.B) {
	for _, holders := range []int{1, 3, 10} {
		for _, teams := range []int{1, 6, 50} {
			b.Run(fmt.Sprintf("%d controllers, %d teams", holders, teams), func(b *testing.B) {
				for range b.N {
					admitted, submitted, changes := admitForAMinute(holders, teams)
					b.ReportMetric(float64(admitted)/60, "admitted/s")
					b.ReportMetric(float64(submitted)/60, "submitted/s")
					b.ReportMetric(float64(changes)/60, "changes/s")
				}
			})
		}
	}
}

func admitForAMinute(holders, teams int) (admitted, submitted, changes int) {
	limits := map[ident.Team]config.Team{}
	for i := range teams {
		name := ident.Team(fmt.Sprintf("team %d", i))
		limits[name] = config.Team{Name: name, CPULimit: 400}
	}
	c, rng := newCluster(holders, limits), rand.New(rand.NewPCG(1, 1))
	for step := range 600 {
		c.now = c.now.Add(100 * time.Millisecond)
		for i, node := range c.nodes {
			if step%2 == 0 {
				submitted++
				c.stepHolder(node, c.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%02d%06d", i, step)), Team: ident.Team(fmt.Sprintf("team %d", rng.IntN(teams))), Tasks: 1 + rng.IntN(4), TaskDemand: Quantity{MilliCPU: 1000}})
			}
			for _, request := range c.stepHolder(node, c.now, Tick{}) {
				c.allocator.Receive(c.now, request, nil)
			}
		}
		c.stepLeader(c.now, func(r Reply) {
			c.stepHolder(c.nodes[int(r.Response.Holder.Node[1]-'0')], c.now, ResponseReceived{&r.Response})
		})
		if step%100 == 0 {
			c.finishJobs()
		}
	}
	return c.admitted(), submitted, c.store.OperationCount
}

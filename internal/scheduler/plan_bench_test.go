package scheduler

import "testing"

// BenchmarkPlanRound measures planning 40 snapshots of one profile per iteration.
func BenchmarkPlanRound(b *testing.B) {
	for _, c := range []struct {
		name    string
		profile profile
	}{{"crowded", crowded}, {"sparse", sparse}, {"gangs", gangsQueued}, {"large", largeGangs}, {"growing", growing}} {
		b.Run(c.name, func(b *testing.B) {
			var snapshots []*Snapshot
			for seed := uint64(c.profile); len(snapshots) < 40; seed += uint64(profileCount) {
				snapshots = append(snapshots, newSnapshotGenerator(seed).snapshot)
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, s := range snapshots {
					PlanRound(s)
				}
			}
		})
	}
}

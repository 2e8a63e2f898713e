package scheduler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"badgerbay/internal/jobs"
)

// goldenPlanCount is the number of seeds in testdata/golden/plans.txt. Each line holds a seed, the first bytes of
// the hash of the plan's canonical form, and the kinds of decisions in the plan.
const goldenPlanCount = 450

// TestGoldenPlans checks that the plan of the snapshot generated from each seed equals the golden plan. Each snapshot
// is also planned a second time, and generated and planned again, to check that a plan depends only on its snapshot.
func TestGoldenPlans(t *testing.T) {
	data, err := os.ReadFile("testdata/golden/plans.txt")
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	if len(golden) != goldenPlanCount {
		t.Fatalf("%d golden plans, want %d", len(golden), goldenPlanCount)
	}
	counts := map[string]int{}
	for seed := range uint64(goldenPlanCount) {
		s := newSnapshotGenerator(seed)
		plan := PlanRound(s.snapshot)
		text := canonicalPlan(plan)
		if again := canonicalPlan(PlanRound(s.snapshot)); again != text {
			t.Errorf("seed %d: planning the same snapshot again gives a different plan:\n%s\nfirst:\n%s", seed, again, text)
		}
		if again := canonicalPlan(PlanRound(newSnapshotGenerator(seed).snapshot)); again != text {
			t.Errorf("seed %d: generating the snapshot again gives a different plan:\n%s\nfirst:\n%s", seed, again, text)
		}
		kinds := s.decisionKinds(plan)
		for _, kind := range kinds {
			counts[kind]++
		}
		if line := goldenLine(seed, text, kinds); line != golden[seed] {
			t.Errorf("seed %d: plan\n%s\nwant %s\n%s", seed, line, golden[seed], text)
		}
	}
	for _, kind := range allDecisionKinds {
		t.Logf("%4d of %d plans: %s", counts[kind], goldenPlanCount, kind)
		if counts[kind] == 0 {
			t.Errorf("no golden plan has a decision of kind %q", kind)
		}
	}
}

// goldenLine returns the line of testdata/golden/plans.txt for a seed. It holds the first 12 bytes of the plan's
// hash.
func goldenLine(seed uint64, text string, kinds []string) string {
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf("%d %s %s", seed, hex.EncodeToString(sum[:12]), strings.Join(kinds, ","))
}

// allDecisionKinds lists the kinds of decisions that the golden plans must cover. The names appear in
// testdata/golden/plans.txt.
var allDecisionKinds = []string{"start", "preemption", "consolidation", "scale-out", "scale-out-for-guarantee", "guarantee-taken-back",
	"gang-start", "gang-preempted", "gang-preempts", "gang-in-parts", "replacement", "spare-kept", "blocked", "short", "old-first"}

// decisionKinds returns the kinds of decisions in a plan, in the order of allDecisionKinds.
func (s *snapshotGenerator) decisionKinds(plan *Plan) []string {
	has := map[string]bool{
		"start":         len(plan.Record.Starts) > 0,
		"consolidation": len(plan.Drain) > 0,
		"scale-out":     len(plan.Record.Provisions) > 0,
		"scale-out-for-guarantee": len(plan.Record.Provisions) > 0 && plan.ProvisionedFor == "" &&
			len(s.snapshot.SpareSpecs) == 0 && len(s.snapshot.TypicalSpecs) > 0,
		"gang-in-parts": plan.Record.MaxJSONSize() > s.snapshot.ValueBytes,
		"spare-kept":    len(plan.Retain) > 0,
		"blocked":       len(plan.ReservationBlocked) > 0,
		"short":         plan.UnplacedTasks > 0,
	}
	for _, eviction := range plan.Evictions {
		preemptor, victim := s.jobs[eviction.Preemptor], eviction.Placement.Job
		if preemptor == nil {
			continue
		}
		has["preemption"] = true
		has["guarantee-taken-back"] = has["guarantee-taken-back"] || victim.Spec.Priority >= preemptor.Spec.Priority
		has["gang-preempted"] = has["gang-preempted"] || victim.Spec.Gang
		has["gang-preempts"] = has["gang-preempts"] || preemptor.Spec.Gang
	}
	lowestBefore := jobs.PriorityProd
	for _, start := range plan.Record.Starts {
		spec := &s.jobs[start.Job].Spec
		has["replacement"] = has["replacement"] || start.Attempt != 0
		has["gang-start"] = has["gang-start"] || spec.Gang && start.Attempt == 0
		has["old-first"] = has["old-first"] || spec.Priority > lowestBefore && spec.Priority < jobs.PriorityHigh
		lowestBefore = min(lowestBefore, spec.Priority)
	}
	return slices.DeleteFunc(slices.Clone(allDecisionKinds), func(kind string) bool { return !has[kind] })
}

// canonicalPlan returns the plan as text, field by field. The golden hashes depend on every byte of it.
func canonicalPlan(plan *Plan) string {
	var b strings.Builder
	r := &plan.Record
	fmt.Fprintf(&b, "record schema=%d no=%d epoch=%d low=%d\n", r.SchemaVersion, r.RoundNo, r.Epoch, r.LowWatermark)
	for _, st := range r.Starts {
		fmt.Fprintf(&b, "start %s %s session=%d attempt=%d tasks=", st.Job, st.Machine, st.Session, st.Attempt)
		for _, span := range st.Tasks {
			fmt.Fprintf(&b, "%d-%d,", span.First, span.Last)
		}
		b.WriteString("\n")
	}
	for _, provision := range r.Provisions {
		fmt.Fprintf(&b, "hire %s %s %s spot=%t count=%d for=%s\n",
			provision.Name, provision.Offer.Type, provision.Offer.Zone, provision.Offer.Spot, provision.Count,
			plan.ProvisionedFor)
	}
	for _, m := range r.Deprovisions {
		fmt.Fprintf(&b, "release %s\n", m)
	}
	for _, eviction := range plan.Evictions {
		p := eviction.Placement
		fmt.Fprintf(&b, "stop %s/%d %s attempt=%d for=%s\n", p.Job.ID, p.Task, p.Machine, p.Attempt, eviction.Preemptor)
	}
	for _, m := range plan.Drain {
		fmt.Fprintf(&b, "vacate %s\n", m)
	}
	for _, m := range slices.Sorted(maps.Keys(plan.Retain)) {
		fmt.Fprintf(&b, "keep %s %t\n", m, plan.Retain[m])
	}
	for _, team := range slices.Sorted(maps.Keys(plan.ReservationBlocked)) {
		amount := plan.ReservationBlocked[team]
		fmt.Fprintf(&b, "blocked %s cpus=%s gpus=%s memory=%s\n",
			team, formatAmount(amount.CPUs), formatAmount(amount.GPUs), formatAmount(amount.MemoryGB))
	}
	fmt.Fprintf(&b, "short=%d work=%d\n", plan.UnplacedTasks, plan.Examined)
	return b.String()
}

func formatAmount(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

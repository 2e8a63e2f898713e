package node

import (
	"context"
	"testing"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// TestStoredMachineTypesUsedDuringCloudOutage checks that a node that starts while the cloud is down uses the machine types that
// a leader has stored, so that it can validate jobs.
func TestStoredMachineTypesUsedDuringCloudOutage(t *testing.T) {
	f := newNodeFixture(t)
	holder := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: election.LeaderRecord{Node: "n0"}}}}
	epoch, err := f.kv.Store.Commit(holder)
	if err != nil {
		t.Fatal(err)
	}
	types := f.node.core.core.MachineTypes()
	f.node.core.published.Store(&coreView{leader: "n0", machineTypes: types, epoch: ident.Epoch(epoch)})
	f.node.cloud.storeMachineTypes(context.Background(), types)
	f.node.core.published.Store(&coreView{})
	f.node.cloud.readMachineTypes(context.Background())
	in, ok := (<-f.node.core.inbox).(controller.MachineTypesRead)
	if !ok || len(in.Types) != 1 || in.Types[0].Name != "m" || !in.Types[0].Capacity.Fits(types[0].Capacity) {
		t.Errorf("machine types %+v, want those that the leader stored", in.Types)
	}
}

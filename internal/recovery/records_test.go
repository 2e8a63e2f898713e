package recovery

import (
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
)

// TestDecodeRecordsListsUnreadable checks that a record that can't be decoded is listed with its key and does not
// prevent the others from being decoded.
func TestDecodeRecordsListsUnreadable(t *testing.T) {
	good, err := msgpack.Marshal(jobs.NewRecord(jobs.Spec{Tasks: 2, CPUs: 1}, 0))
	if err != nil {
		t.Fatal(err)
	}
	newer, err := msgpack.Marshal(map[string]any{"v": 99})
	if err != nil {
		t.Fatal(err)
	}
	r := DecodeRecords(StoredRecords{
		Jobs: []kvstore.KeyValue{
			{Key: "job/wk-000001", Value: good, ModRevision: 3},
			{Key: "job/wk-000002", Value: []byte{0xc1}, ModRevision: 4},
		},
		Rounds: []kvstore.KeyValue{{Key: "round/1", Value: newer, ModRevision: 5}},
		Chunks: []kvstore.KeyValue{{Key: "part/stage", Value: good, ModRevision: 6}},
	}, "part/stage")
	if len(r.Jobs) != 1 || r.Jobs[0].ID != "wk-000001" || r.Jobs[0].Revision != 3 || r.StageRevision != 6 {
		t.Errorf("decoded %+v", r)
	}
	if len(r.UnreadableRecords) != 2 || r.UnreadableRecords[0].Key != "job/wk-000002" || r.UnreadableRecords[0].FromNewerSchema() {
		t.Errorf("unreadable: %+v", r.UnreadableRecords)
	}
	if len(r.LostRounds) != 1 || r.LostRounds[0].Key != "round/1" {
		t.Errorf("lost rounds: %+v", r.LostRounds)
	}
}

// TestNewerSchemaIsDistinguishedFromDamage checks that records of a newer schema are distinguished from damaged ones,
// and that an agreement that can't be decoded is listed too.
func TestNewerSchemaIsDistinguishedFromDamage(t *testing.T) {
	newer, err := msgpack.Marshal(map[string]any{"v": 99})
	if err != nil {
		t.Fatal(err)
	}
	r := DecodeRecords(StoredRecords{
		Jobs:            []kvstore.KeyValue{{Key: "job/wk-000001", Value: newer, ModRevision: 3}},
		Rounds:          []kvstore.KeyValue{{Key: "round/1", Value: newer, ModRevision: 5}},
		SchemaAgreement: kvstore.KeyValue{Key: "form", Value: []byte{0xc1}, ModRevision: 7},
	}, "part/stage")
	if r.SchemaRevision != 7 || len(r.UnreadableRecords) != 3 {
		t.Fatalf("decoded %+v", r)
	}
	agreement, job, round := r.UnreadableRecords[0], r.UnreadableRecords[1], r.UnreadableRecords[2]
	if agreement.Key != "form" || agreement.FromNewerSchema() {
		t.Errorf("agreement: %+v", agreement)
	}
	if !job.FromNewerSchema() || !errors.Is(job.Err, jobs.ErrNewerSchema) {
		t.Errorf("job: %v", job.Err)
	}
	if !round.FromNewerSchema() || !errors.Is(round.Err, roundlog.ErrNewerSchema) {
		t.Errorf("round: %v", round.Err)
	}
}

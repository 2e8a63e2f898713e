// Package takeover is what a new leader does before it decides anything: it reads
// the records that earlier leaders have left, and waits until nearly all machines
// have reported to it. It does no I/O and changes nothing.
package takeover

import (
	"errors"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// StoredRecords is everything that the state service holds, still encoded.
type StoredRecords struct {
	Jobs, Rounds    []statestore.KeyValue
	Chunks          []statestore.KeyValue // of records of both kinds
	SchemaAgreement statestore.KeyValue   // the form of records that was agreed on
}

// Records are what could be read of it.
type Records struct {
	Jobs   []JobRecord
	Rounds []round.StoredRecord
	// LostRounds are the slots whose rounds can't be read.
	LostRounds      []statestore.KeyValue
	SchemaAgreement rollout.Agreement
	// Versions of the keys by which staged records and the agreement are guarded.
	StageRevision, SchemaRevision unit.Revision
	UnreadableRecords             []UnreadableRecord
}

// JobRecord is a job's record and its version.
type JobRecord struct {
	ID       unit.JobID
	Record   *checkpoint.Record
	Revision unit.Revision
}

// UnreadableRecord is a record that can't be read.
type UnreadableRecord struct {
	Key string
	Err error
}

// FromNewerSchema tells whether a newer program has written the record: this one must not
// decide without knowing what that one has decided.
func (u UnreadableRecord) FromNewerSchema() bool {
	return errors.Is(u.Err, checkpoint.ErrNewerSchema) || errors.Is(u.Err, round.ErrNewerSchema)
}

// DecodeRecords decodes all records. stageKey is the key that guards staged records.
func DecodeRecords(s StoredRecords, stageKey string) *Records {
	out := &Records{SchemaRevision: s.SchemaAgreement.ModRevision}
	if s.SchemaAgreement.ModRevision != 0 {
		if err := msgpack.Unmarshal(s.SchemaAgreement.Value, &out.SchemaAgreement); err != nil {
			out.addUnreadable(s.SchemaAgreement.Key, err)
		}
	}
	parts := make(map[string][]byte, len(s.Chunks))
	for _, item := range s.Chunks {
		parts[item.Key] = item.Value
		if item.Key == stageKey {
			out.StageRevision = item.ModRevision
		}
	}
	out.decodeJobs(s.Jobs, parts)
	out.decodeRounds(s.Rounds, parts)
	return out
}

func (r *Records) decodeJobs(items []statestore.KeyValue, parts map[string][]byte) {
	for _, item := range items {
		id := unit.JobID(strings.TrimPrefix(item.Key, checkpoint.KeyPrefix))
		job, err := DecodeJob(id, item, func(n int) []byte { return parts[checkpoint.ChunkKey(id, n)] })
		if err != nil {
			r.addUnreadable(item.Key, err)
			continue
		}
		r.Jobs = append(r.Jobs, job)
	}
}

// DecodeJob decodes the record of one job; part returns its parts.
func DecodeJob(id unit.JobID, item statestore.KeyValue, part func(n int) []byte) (JobRecord, error) {
	record, err := checkpoint.DecodeWithChunks(item.Value, part)
	if err != nil {
		return JobRecord{}, fmt.Errorf("job %s: %w", id, err)
	}
	return JobRecord{ID: id, Record: record, Revision: item.ModRevision}, nil
}

func (r *Records) decodeRounds(items []statestore.KeyValue, parts map[string][]byte) {
	for _, item := range items {
		part := func(n int) []byte { return parts[round.ChunkKey(item.Key, n)] }
		record, err := round.Decode(item.Value, part)
		if err != nil {
			r.addUnreadable(item.Key, err)
			r.LostRounds = append(r.LostRounds, item)
			continue
		}
		r.Rounds = append(r.Rounds, round.StoredRecord{Key: item.Key, Record: record, Revision: item.ModRevision})
	}
}

func (r *Records) addUnreadable(key string, err error) {
	r.UnreadableRecords = append(r.UnreadableRecords, UnreadableRecord{Key: key, Err: err})
}

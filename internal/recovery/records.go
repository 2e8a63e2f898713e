// Package recovery is what a new leader does before it decides anything: it reads
// the records that earlier leaders have left, and waits until nearly all machines
// have reported to it. It does no I/O and changes nothing.
package recovery

import (
	"errors"
	"fmt"
	"strings"

	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/schemaversion"
)

// StoredRecords is everything that the state service holds, still encoded.
type StoredRecords struct {
	Jobs, Rounds    []kvstore.KeyValue
	Chunks          []kvstore.KeyValue // of records of both kinds
	SchemaAgreement kvstore.KeyValue   // the form of records that was agreed on
}

// Records are what could be read of it.
type Records struct {
	Jobs   []JobRecord
	Rounds []roundlog.StoredRecord
	// LostRounds are the slots whose rounds can't be read.
	LostRounds      []kvstore.KeyValue
	SchemaAgreement schemaversion.Agreement
	// Versions of the keys by which staged records and the agreement are guarded.
	StageRevision, SchemaRevision ident.Revision
	UnreadableRecords             []UnreadableRecord
}

// JobRecord is a job's record and its version.
type JobRecord struct {
	ID       ident.JobID
	Record   *jobs.Record
	Revision ident.Revision
}

// UnreadableRecord is a record that can't be read.
type UnreadableRecord struct {
	Key string
	Err error
}

// FromNewerSchema tells whether a newer program has written the record: this one must not
// decide without knowing what that one has decided.
func (u UnreadableRecord) FromNewerSchema() bool {
	return errors.Is(u.Err, jobs.ErrNewerSchema) || errors.Is(u.Err, roundlog.ErrNewerSchema)
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

func (r *Records) decodeJobs(items []kvstore.KeyValue, parts map[string][]byte) {
	for _, item := range items {
		id := ident.JobID(strings.TrimPrefix(item.Key, jobs.KeyPrefix))
		job, err := DecodeJob(id, item, func(n int) []byte { return parts[jobs.ChunkKey(id, n)] })
		if err != nil {
			r.addUnreadable(item.Key, err)
			continue
		}
		r.Jobs = append(r.Jobs, job)
	}
}

// DecodeJob decodes the record of one job; part returns its parts.
func DecodeJob(id ident.JobID, item kvstore.KeyValue, part func(n int) []byte) (JobRecord, error) {
	record, err := jobs.DecodeWithChunks(item.Value, part)
	if err != nil {
		return JobRecord{}, fmt.Errorf("job %s: %w", id, err)
	}
	return JobRecord{ID: id, Record: record, Revision: item.ModRevision}, nil
}

func (r *Records) decodeRounds(items []kvstore.KeyValue, parts map[string][]byte) {
	for _, item := range items {
		part := func(n int) []byte { return parts[roundlog.ChunkKey(item.Key, n)] }
		record, err := roundlog.Decode(item.Value, part)
		if err != nil {
			r.addUnreadable(item.Key, err)
			r.LostRounds = append(r.LostRounds, item)
			continue
		}
		r.Rounds = append(r.Rounds, roundlog.StoredRecord{Key: item.Key, Record: record, Revision: item.ModRevision})
	}
}

func (r *Records) addUnreadable(key string, err error) {
	r.UnreadableRecords = append(r.UnreadableRecords, UnreadableRecord{Key: key, Err: err})
}

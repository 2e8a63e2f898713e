// Package recovery holds what a new leader does before it decides anything: it decodes
// the records that earlier leaders left, and keeps scheduling closed until the state of
// nearly all machines is known again. It owns the decoded records and the rule that opens
// scheduling. Reading the key-value store, sending requests to machines and replaying the
// records into jobs and machines are left to the controller; nothing here does I/O.
package recovery

import (
	"errors"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/schemaversion"
)

// StoredRecords is everything that the key-value store holds, still encoded.
type StoredRecords struct {
	// Jobs and Rounds are the first values of job and round records.
	Jobs, Rounds []kvstore.KeyValue
	// Chunks are the further values of records of both kinds.
	Chunks []kvstore.KeyValue
	// SchemaAgreement is the schema version that the nodes agreed on; its revision is 0
	// if there is none.
	SchemaAgreement kvstore.KeyValue
}

// Records are the decoded records, and those that could not be decoded.
type Records struct {
	Jobs   []JobRecord
	Rounds []roundlog.StoredRecord
	// LostRounds are the slots of the round log whose records can't be decoded.
	LostRounds      []kvstore.KeyValue
	SchemaAgreement schemaversion.Agreement
	// StageRevision and SchemaRevision are the revisions of the keys by which staged
	// records and the schema agreement are guarded; 0: absent.
	StageRevision, SchemaRevision ident.Revision
	UnreadableRecords             []UnreadableRecord
}

// JobRecord is a job's record and the revision of its key.
type JobRecord struct {
	ID       ident.JobID
	Record   *jobs.Record
	Revision ident.Revision
}

// UnreadableRecord is a record that can't be decoded.
type UnreadableRecord struct {
	Key string
	Err error
}

// FromNewerSchema tells whether a newer program wrote the record: this one must not
// decide without knowing what that one decided.
func (u UnreadableRecord) FromNewerSchema() bool {
	return errors.Is(u.Err, jobs.ErrNewerSchema) || errors.Is(u.Err, roundlog.ErrNewerSchema)
}

// DecodeRecords decodes all records; stageKey is the key that guards staged records.
// Records that can't be decoded are listed and don't keep the others from being read.
func DecodeRecords(stored StoredRecords, stageKey string) *Records {
	records := &Records{}
	records.decodeAgreement(stored.SchemaAgreement)
	chunks := make(map[string][]byte, len(stored.Chunks))
	for _, item := range stored.Chunks {
		chunks[item.Key] = item.Value
		if item.Key == stageKey {
			records.StageRevision = item.ModRevision
		}
	}
	records.decodeJobs(stored.Jobs, chunks)
	records.decodeRounds(stored.Rounds, chunks)
	return records
}

func (r *Records) decodeAgreement(item kvstore.KeyValue) {
	r.SchemaRevision = item.ModRevision
	if item.ModRevision == 0 {
		return
	}
	if err := msgpack.Unmarshal(item.Value, &r.SchemaAgreement); err != nil {
		r.addUnreadable(item.Key, fmt.Errorf("decoding schema agreement: %w", err))
	}
}

func (r *Records) decodeJobs(items []kvstore.KeyValue, chunks map[string][]byte) {
	for _, item := range items {
		id := ident.JobID(strings.TrimPrefix(item.Key, jobs.KeyPrefix))
		job, err := DecodeJob(id, item, func(n int) []byte { return chunks[jobs.ChunkKey(id, n)] })
		if err != nil {
			r.addUnreadable(item.Key, err)
			continue
		}
		r.Jobs = append(r.Jobs, job)
	}
}

// DecodeJob decodes the record of one job; chunk returns its further values by number, or
// nil. The error wraps jobs.ErrNewerSchema if a newer program wrote the record.
func DecodeJob(id ident.JobID, item kvstore.KeyValue, chunk func(n int) []byte) (JobRecord, error) {
	record, err := jobs.DecodeWithChunks(item.Value, chunk)
	if err != nil {
		return JobRecord{}, fmt.Errorf("job %s: %w", id, err)
	}
	return JobRecord{ID: id, Record: record, Revision: item.ModRevision}, nil
}

func (r *Records) decodeRounds(items []kvstore.KeyValue, chunks map[string][]byte) {
	for _, item := range items {
		record, err := roundlog.Decode(item.Value, func(n int) []byte { return chunks[roundlog.ChunkKey(item.Key, n)] })
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

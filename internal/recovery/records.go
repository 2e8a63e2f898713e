// Package recovery implements the first steps of a new leader. It decodes the records that earlier leaders stored, and
// blocks scheduling until the state of nearly all machines is known again. It owns the decoded records and the rule
// that opens scheduling, and performs no I/O. The controller reads the state service, sends requests to machines and
// replays the records into jobs and machines.
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

// StoredRecords holds all records of the state service in encoded form.
type StoredRecords struct {
	// Jobs and Rounds are the first values of job and round records.
	Jobs, Rounds []kvstore.KeyValue
	// Chunks are the further values of job and round records.
	Chunks []kvstore.KeyValue
	// SchemaAgreement is the stored schema version that the nodes agreed on. Its revision is 0 if none is stored.
	SchemaAgreement kvstore.KeyValue
}

// Records holds the decoded records and lists those that could not be decoded.
type Records struct {
	Jobs   []JobRecord
	Rounds []roundlog.StoredRecord
	// LostRounds are the slots of the round log whose records could not be decoded.
	LostRounds      []kvstore.KeyValue
	SchemaAgreement schemaversion.Agreement
	// StageRevision is the revision of the key that guards staged records, and SchemaRevision that of the key of the
	// schema agreement. 0 means that the key is absent.
	StageRevision, SchemaRevision ident.Revision
	UnreadableRecords             []UnreadableRecord
}

// JobRecord is a job's record and the revision of its key.
type JobRecord struct {
	ID       ident.JobID
	Record   *jobs.Record
	Revision ident.Revision
}

// UnreadableRecord identifies a record that could not be decoded.
type UnreadableRecord struct {
	Key string
	Err error
}

// FromNewerSchema reports whether a newer release wrote the record. This release can't read the decisions in such a
// record and must not make its own without them.
func (u UnreadableRecord) FromNewerSchema() bool {
	return errors.Is(u.Err, jobs.ErrNewerSchema) || errors.Is(u.Err, roundlog.ErrNewerSchema)
}

// DecodeRecords decodes all records; stageKey is the key that guards staged records. Records that can't be decoded are
// listed in the result and don't prevent the others from being decoded.
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

// DecodeJob decodes the record of one job. chunk returns the chunk with the given number, or nil if it is absent. The
// error wraps jobs.ErrNewerSchema if a newer release wrote the record.
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

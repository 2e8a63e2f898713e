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

// Stored is everything that the state service holds, still encoded.
type Stored struct {
	Jobs, Rounds []statestore.KeyValue
	Parts        []statestore.KeyValue // of records of both kinds
	Agreed       statestore.KeyValue   // the form of records that was agreed on
}

// Records are what could be read of it.
type Records struct {
	Jobs   []Job
	Rounds []round.Stored
	// LostRounds are the slots whose rounds can't be read.
	LostRounds []statestore.KeyValue
	Agreed     rollout.Agreed
	// Versions of the keys by which staged records and the agreement are guarded.
	StageVersion, AgreedVersion unit.Revision
	Unreadable                  []Unreadable
}

// Job is a job's record and its version.
type Job struct {
	ID      unit.JobID
	Record  *checkpoint.Record
	Version unit.Revision
}

// Unreadable is a record that can't be read.
type Unreadable struct {
	Key string
	Err error
}

// IsLater tells whether a newer program has written the record: this one must not
// decide without knowing what that one has decided.
func (u Unreadable) IsLater() bool {
	return errors.Is(u.Err, checkpoint.ErrNewerSchema) || errors.Is(u.Err, round.ErrSchema)
}

// Read decodes all records. stageKey is the key that guards staged records.
func Read(s Stored, stageKey string) *Records {
	out := &Records{AgreedVersion: s.Agreed.ModRevision}
	if s.Agreed.ModRevision != 0 {
		if err := msgpack.Unmarshal(s.Agreed.Value, &out.Agreed); err != nil {
			out.unreadable(s.Agreed.Key, err)
		}
	}
	parts := make(map[string][]byte, len(s.Parts))
	for _, item := range s.Parts {
		parts[item.Key] = item.Value
		if item.Key == stageKey {
			out.StageVersion = item.ModRevision
		}
	}
	out.readJobs(s.Jobs, parts)
	out.readRounds(s.Rounds, parts)
	return out
}

func (r *Records) readJobs(items []statestore.KeyValue, parts map[string][]byte) {
	for _, item := range items {
		id := unit.JobID(strings.TrimPrefix(item.Key, checkpoint.KeyPrefix))
		job, err := ReadJob(id, item, func(n int) []byte { return parts[checkpoint.ChunkKey(id, n)] })
		if err != nil {
			r.unreadable(item.Key, err)
			continue
		}
		r.Jobs = append(r.Jobs, job)
	}
}

// ReadJob decodes the record of one job; part returns its parts.
func ReadJob(id unit.JobID, item statestore.KeyValue, part func(n int) []byte) (Job, error) {
	record, err := checkpoint.DecodeWithChunks(item.Value, part)
	if err != nil {
		return Job{}, fmt.Errorf("job %s: %w", id, err)
	}
	return Job{ID: id, Record: record, Version: item.ModRevision}, nil
}

func (r *Records) readRounds(items []statestore.KeyValue, parts map[string][]byte) {
	for _, item := range items {
		part := func(n int) []byte { return parts[round.PartKey(item.Key, n)] }
		record, err := round.Decode(item.Value, part)
		if err != nil {
			r.unreadable(item.Key, err)
			r.LostRounds = append(r.LostRounds, item)
			continue
		}
		r.Rounds = append(r.Rounds, round.Stored{Key: item.Key, Record: record, Version: item.ModRevision})
	}
}

func (r *Records) unreadable(key string, err error) {
	r.Unreadable = append(r.Unreadable, Unreadable{Key: key, Err: err})
}

package roundlog

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// maxDecompressedBytes bounds what a compressed record may hold.
	maxDecompressedBytes = 4 << 20
	// maxTasks bounds the task indexes that are read back.
	maxTasks = 1 << 31
)

// unpackStarts reads the starts of a stored record.
func (r *Record) unpackStarts(chunkValue func(n int) []byte) error {
	if info := r.ChunkInfo; info != nil {
		compressed, err := chunk.Join(r.Packed, info.Chunks, info.Checksum, chunkValue)
		if err != nil {
			return err
		}
		return compressed.DecompressRecord(maxDecompressedBytes, func(d *msgpack.Decoder) error {
			return r.decodeStarts(d, true)
		})
	}
	if r.Packed == "" {
		return nil // there are none, or schema 1 lists them
	}
	return r.Packed.Unpack(func(d *msgpack.Decoder) error { return r.decodeStarts(d, false) })
}

// encodeStarts writes the starts, with their attempts if these are wanted. The name of a job
// is left empty where it is that of the start before.
func (r *Record) encodeStarts(e *msgpack.Encoder, withAttempts bool) error {
	if err := e.EncodeArrayLen(len(r.Starts)); err != nil {
		return err
	}
	previousJob := ident.JobID("")
	for _, start := range r.Starts {
		job := start.Job
		if job == previousJob {
			job = ""
		}
		previousJob = start.Job
		err := errors.Join(e.EncodeString(string(job)), e.EncodeString(string(start.Machine)),
			e.EncodeUint(uint64(start.Session)), start.Tasks.EncodeDelta(e))
		if withAttempts {
			err = errors.Join(err, e.EncodeUint(uint64(start.Attempt)))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// decodeStarts reads what encodeStarts has written.
func (r *Record) decodeStarts(d *msgpack.Decoder, withAttempts bool) error {
	n, err := wire.DecodeArrayLen(d)
	if err != nil {
		return err
	}
	previousJob := ident.JobID("")
	for range n {
		var start Start
		if err := start.decode(d, previousJob, withAttempts); err != nil {
			return err
		}
		r.Starts = append(r.Starts, start)
		previousJob = start.Job
	}
	return nil
}

func (s *Start) decode(d *msgpack.Decoder, previousJob ident.JobID, withAttempt bool) error {
	job, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	machine, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	session, err := wire.DecodeCount(d)
	if err != nil {
		return err
	}
	s.Job, s.Machine, s.Session = ident.JobID(job), ident.MachineID(machine), ident.Session(session)
	if job == "" {
		s.Job = previousJob
	}
	err = s.Tasks.DecodeDelta(d)
	if err != nil || !withAttempt {
		return err
	}
	attempt, err := wire.DecodeCount(d)
	s.Attempt = ident.Attempt(attempt)
	return err
}

package roundlog

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// maxDecompressedBytes bounds the decompressed size of a record.
	maxDecompressedBytes = 4 << 20
	// maxTasks is the exclusive upper bound of the task indexes that Decode accepts.
	maxTasks = 1 << 31
)

// unpackStarts decodes the starts of a stored record.
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
		return nil // there are no starts, or schema 1 stores them as a list
	}
	return r.Packed.Unpack(func(d *msgpack.Decoder) error { return r.decodeStarts(d, false) })
}

// encodeStarts encodes the starts, with their attempts if withAttempts is set. The name of a job
// is left empty if it is the same as that of the preceding start.
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

// decodeStarts decodes what encodeStarts wrote.
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

// decode decodes a start. An empty job name in it stands for previousJob.
func (s *Start) decode(d *msgpack.Decoder, previousJob ident.JobID, withAttempt bool) error {
	fields := wire.NewSequence(d)
	s.Job = ident.JobID(fields.Text())
	s.Machine = ident.MachineID(fields.Text())
	s.Session = ident.Session(fields.Count())
	if err := fields.Err(); err != nil {
		return err
	}
	if s.Job == "" {
		s.Job = previousJob
	}
	if err := s.Tasks.DecodeDelta(d); err != nil || !withAttempt {
		return err
	}
	s.Attempt = ident.Attempt(fields.Count())
	return fields.Err()
}

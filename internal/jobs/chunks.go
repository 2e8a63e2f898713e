package jobs

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// chunkBankSize is the maximum number of chunks in one write of a schemaMultiTxn record.
	// Such a write uses one of two banks of chunk numbers, the one that the stored record does
	// not use.
	chunkBankSize = chunk.MaxChunks / 2
	// maxDecompressedBytes bounds the decompressed size of a record.
	maxDecompressedBytes = 4 << 20
)

// ChunkKey returns the key of a chunk of a job's record. Chunk numbers start at 1.
func ChunkKey(id ident.JobID, number int) string { return chunk.Key(string(id), number) }

// ChunkInfo describes the chunks of a record.
type ChunkInfo struct {
	Chunks   int    `msgpack:"n" json:"n"`
	Checksum uint32 `msgpack:"s" json:"s"`
	// DoneTasks and LiveTasks are task counts for readers of the record without its chunks.
	DoneTasks int `msgpack:"d" json:"d"`
	LiveTasks int `msgpack:"l" json:"l"`
	// Offset is one less than the number of the first chunk; see SplitMultiTxn.
	Offset int `msgpack:"f,omitempty" json:"f,omitempty"`
}

// validate returns ErrInvalidRecord for numbers of chunks that no version of the program writes.
func (c *ChunkInfo) validate() error {
	if c.Chunks < 0 || c.Chunks > chunk.MaxChunks || c.Offset < 0 || c.Offset > chunk.MaxChunks {
		return fmt.Errorf("%w: number or offset of chunks is out of range", ErrInvalidRecord)
	}
	return nil
}

func (r *Record) newChunkInfo(compressed wire.Packed, chunks int) *ChunkInfo {
	return &ChunkInfo{Chunks: chunks, Checksum: chunk.Checksum(compressed), DoneTasks: r.Done.Len(), LiveTasks: r.LiveTasks()}
}

// Split returns the record in its stored form and its chunks. A value holds at most valueLimit
// bytes as measured by jsonSize, and at most maxValues values, including the record's own, may be
// written. If maxValues is 1, the record has schemaPlain and may exceed valueLimit: callers pass 1
// while versions of the program that don't support chunks are in service.
func (r *Record) Split(valueLimit, maxValues int, jsonSize func(any) int) (*Record, []*chunk.Value, error) {
	plain, err := r.Encode()
	if err != nil || maxValues <= 1 || jsonSize(plain) <= valueLimit {
		return plain, nil, err
	}
	compressed, err := wire.CompressRecord(r.encodeProgress)
	if err != nil {
		return nil, nil, err
	}
	out := *plain
	out.SchemaVersion = schemaChunked
	out.Packed = compressed[:1] // not empty, so that jsonSize counts the field's name
	out.ChunkInfo = r.newChunkInfo(compressed, chunk.MaxChunks)
	limits := chunk.Limits{HeadBytes: valueLimit - jsonSize(&out), ValueBytes: valueLimit, Chunks: maxValues - 1}
	head, chunks, err := chunk.Split(compressed, limits, schemaChunked)
	if err != nil {
		return nil, nil, fmt.Errorf("job record: %w", err)
	}
	out.Packed, out.ChunkInfo.Chunks = head, len(chunks)
	return &out, chunks, nil
}

// SplitMultiTxn returns the form of the record, of whatever size, that is stored in several
// transactions:
//  1. The chunks are written, in the bank that the stored record does not use. The stored record
//     remains complete.
//  2. The record itself, which contains neither spec nor placements, is written and replaces the
//     stored one.
//
// storedOffset is the chunk offset of the stored record.
func (r *Record) SplitMultiTxn(valueLimit, storedOffset int) (*Record, []*chunk.Value, error) {
	compressed, err := wire.CompressRecord(r.encodeSpecAndProgress)
	if err != nil {
		return nil, nil, err
	}
	_, chunks, err := chunk.Split(compressed, chunk.Limits{ValueBytes: valueLimit, Chunks: chunkBankSize}, schemaMultiTxn)
	if err != nil {
		return nil, nil, fmt.Errorf("job record: %w", err)
	}
	out := *r
	out.SchemaVersion, out.Spec, out.Done, out.Placements, out.Packed = schemaMultiTxn, Spec{}, nil, nil, ""
	out.ChunkInfo = r.newChunkInfo(compressed, len(chunks))
	if storedOffset == 0 {
		out.ChunkInfo.Offset = chunkBankSize
	}
	return &out, chunks, nil
}

// ChunkNumbers returns the numbers of the chunks of a stored record; none if the record is
// invalid.
func ChunkNumbers(data []byte) []int {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil || r.ChunkInfo == nil || r.ChunkInfo.validate() != nil {
		return nil
	}
	numbers := make([]int, r.ChunkInfo.Chunks)
	for i := range numbers {
		numbers[i] = r.ChunkInfo.Offset + i + 1
	}
	return numbers
}

// DecodeWithChunks decodes a record with its chunks. chunkData returns the value of the chunk
// with the given number, or nil if there is none. The error wraps chunk.ErrTorn if chunks are
// missing or belong to another write.
func DecodeWithChunks(data []byte, chunkData func(number int) []byte) (*Record, error) {
	r, err := Decode(data)
	if err != nil || r.ChunkInfo == nil {
		return r, err
	}
	info := r.ChunkInfo
	compressed, err := chunk.Join(r.Packed, info.Chunks, info.Checksum, func(n int) []byte { return chunkData(info.Offset + n) })
	if err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	decode := r.decodeProgress
	if r.SchemaVersion == schemaMultiTxn {
		decode = r.decodeSpecAndProgress
	}
	if err := compressed.DecompressRecord(maxDecompressedBytes, decode); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	r.Packed, r.ChunkInfo, r.ChunkOffset = "", nil, info.Offset
	return r, r.validate()
}

func (r *Record) encodeSpecAndProgress(e *msgpack.Encoder) error {
	if err := e.Encode(&r.Spec); err != nil {
		return err
	}
	return r.encodeProgress(e)
}

func (r *Record) decodeSpecAndProgress(d *msgpack.Decoder) error {
	if err := d.Decode(&r.Spec); err != nil {
		return err
	}
	return r.decodeProgress(d)
}

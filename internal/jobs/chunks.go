package jobs

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// ChunkKey is the key of a part of a job's record; the first is number 1.
func ChunkKey(id ident.JobID, n int) string { return chunk.Key(string(id), n) }

// chunkBankSize is how many parts one write of a record may have. A staged record
// uses one of two banks of part numbers, the one that the stored record does not.
const chunkBankSize = chunk.MaxChunks / 2

// ChunkInfo is what a record says of its parts.
type ChunkInfo struct {
	Chunks   int    `msgpack:"n" json:"n"`
	Checksum uint32 `msgpack:"s" json:"s"`
	// DoneTasks and Live count tasks, for those who read the record alone.
	DoneTasks int `msgpack:"d" json:"d"`
	LiveTasks int `msgpack:"l" json:"l"`
	// Offset is the number before that of the first part; see Stage.
	Offset int `msgpack:"f,omitempty" json:"f,omitempty"`
}

func (r *Record) newChunkInfo(text wire.Packed) *ChunkInfo {
	return &ChunkInfo{Checksum: chunk.Checksum(text), DoneTasks: r.Done.Len(), LiveTasks: r.LiveTasks(), Chunks: chunk.MaxChunks}
}

// Split returns the record as it is stored where a value holds limit bytes in
// JSON and at most values may be written, the record's own included. size
// measures a value. With one value only, the record is plain, and may be too
// large: versions that know no parts serve.
func (r *Record) Split(limit, values int, size func(any) int) (*Record, []*chunk.Value, error) {
	plain, err := r.Encode()
	if err != nil || values <= 1 || size(plain) <= limit {
		return plain, nil, err
	}
	text, err := wire.CompressRecord(r.encodeProgress)
	if err != nil {
		return nil, nil, err
	}
	out := *plain
	out.SchemaVersion, out.Packed = schemaChunked, text[:1] // for its name to be counted
	out.ChunkInfo = r.newChunkInfo(text)
	head, rest, err := chunk.Split(text, limit-size(&out), limit, values-1, schemaChunked)
	if err != nil {
		return nil, nil, fmt.Errorf("job record: %w", err)
	}
	out.Packed, out.ChunkInfo.Chunks = head, len(rest)
	return &out, rest, nil
}

// SplitMultiTxn returns the record as it is stored in several transactions, whatever its
// size: the parts first, in the bank that the stored record does not use, then
// the record itself, which holds neither spec nor placements. Until that is
// written the stored one stays whole.
func (r *Record) SplitMultiTxn(limit, storedFirst int) (*Record, []*chunk.Value, error) {
	text, err := wire.CompressRecord(r.encodeSpecAndProgress)
	if err != nil {
		return nil, nil, err
	}
	_, rest, err := chunk.Split(text, 0, limit, chunkBankSize, schemaMultiTxn)
	if err != nil {
		return nil, nil, fmt.Errorf("job record: %w", err)
	}
	out := *r
	out.SchemaVersion, out.Spec, out.Done, out.Placements, out.Packed = schemaMultiTxn, Spec{}, nil, nil, ""
	out.ChunkInfo = r.newChunkInfo(text)
	out.ChunkInfo.Chunks = len(rest)
	if storedFirst == 0 {
		out.ChunkInfo.Offset = chunkBankSize
	}
	return &out, rest, nil
}

// encodeSpecAndProgress writes the spec before what pack writes.
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

// LiveTasks counts the tasks under way.
func (r *Record) LiveTasks() int {
	n := 0
	for _, g := range r.Placements {
		n += g.Tasks.Len()
	}
	return n
}

// ChunkNumbers lists the numbers of the parts that a stored record has.
func ChunkNumbers(data []byte) []int {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil || r.ChunkInfo == nil || !r.ChunkInfo.valid() {
		return nil
	}
	out := make([]int, r.ChunkInfo.Chunks)
	for i := range out {
		out[i] = r.ChunkInfo.Offset + i + 1
	}
	return out
}

// valid refuses what no program writes.
func (o *ChunkInfo) valid() bool {
	return o.Chunks >= 0 && o.Chunks <= chunk.MaxChunks && o.Offset >= 0 && o.Offset <= chunk.MaxChunks
}

// maxDecompressedBytes bounds what a compressed record may hold.
const maxDecompressedBytes = 4 << 20

// DecodeWithChunks reads a record with its parts. part returns the value of the part
// with a number, or nil.
func DecodeWithChunks(data []byte, part func(n int) []byte) (*Record, error) {
	r, err := Decode(data)
	if err != nil || r.ChunkInfo == nil {
		return r, err
	}
	o := r.ChunkInfo
	text, err := chunk.Join(r.Packed, o.Chunks, o.Checksum, func(k int) []byte { return part(o.Offset + k) })
	if err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	unpack := r.decodeProgress
	if r.SchemaVersion == schemaMultiTxn {
		unpack = r.decodeSpecAndProgress
	}
	if err := text.DecompressRecord(maxDecompressedBytes, unpack); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	r.Packed, r.ChunkInfo, r.ChunkOffset = "", nil, o.Offset
	return r, r.validate()
}

// RecordCapacity is how much text a record may hold beside its spec where a value
// holds limit bytes and so many values may be written.
func RecordCapacity(limit, values, specSize int) int {
	return limit - specSize - recordOverheadBytes + chunk.Capacity(limit, values-1)
}

// Package round makes the leader's decisions in rounds. A round is planned
// from what is known, recorded whole before any of its effects is sent, and
// folded into the checkpoints of its jobs later.
package round

import (
	"errors"
	"fmt"
	"sort"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of the ring of round records.
const KeyPrefix = "round/"

// Schema is the version of Record. Since 2 the starts are packed; the lists of
// schema 1 are still read.
const Schema = 2

// Start is a group of tasks of one job to be started on one machine. The
// attempt is the number of the round.
type Start struct {
	Job     unit.JobID     `msgpack:"j" json:"j"`
	Machine unit.MachineID `msgpack:"m" json:"m"`
	Session unit.Session   `msgpack:"s" json:"s"`
	Tasks   unit.Ranges    `msgpack:"t" json:"t"`
}

// Hire is a rental under a name of its own.
type Hire struct {
	Name  string       `msgpack:"n" json:"n"`
	Offer rental.Offer `msgpack:"o" json:"o"`
	Count int          `msgpack:"c" json:"c"`
}

// Record is the value of round/SLOT: effects that are pending until folded.
// Every round below Low has been settled.
type Record struct {
	Schema   int                       `msgpack:"v" json:"v"`
	No       unit.RoundNo              `msgpack:"no" json:"no"`
	Epoch    unit.Epoch                `msgpack:"e" json:"e"`
	Low      unit.RoundNo              `msgpack:"lo" json:"lo"`
	Starts   wire.List[Start]          `msgpack:"st,omitempty" json:"-"`
	Packed   wire.Packed               `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Hires    wire.List[Hire]           `msgpack:"hi,omitempty" json:"hi,omitempty"`
	Releases wire.List[unit.MachineID] `msgpack:"re,omitempty" json:"re,omitempty"`
}

// ErrSchema says that a record was written by a later version.
var ErrSchema = errors.New("round record has a later schema")

// Decode reads a record.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding round record: %w", err)
	}
	if r.Schema > Schema {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrSchema, r.Schema, Schema)
	}
	if r.Packed != "" {
		if err := r.Packed.Unpack(r.unpack); err != nil {
			return nil, fmt.Errorf("round record: %w", err)
		}
		r.Packed = ""
	}
	for _, s := range r.Starts {
		if !s.Tasks.Valid(1 << 31) {
			return nil, errors.New("round record holds impossible ranges")
		}
	}
	return r, nil
}

// Encode returns the record as it is stored.
func (r *Record) Encode() (*Record, error) {
	out := *r
	out.Starts = nil
	if len(r.Starts) == 0 {
		return &out, nil
	}
	var err error
	out.Packed, err = wire.Pack(r.pack)
	return &out, err
}

// pack writes the starts. The name of a job is left empty where it is that of
// the start before.
func (r *Record) pack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(len(r.Starts)); err != nil {
		return err
	}
	last := unit.JobID("")
	for _, s := range r.Starts {
		job := s.Job
		if job == last {
			job = ""
		}
		last = s.Job
		err := errors.Join(e.EncodeString(string(job)), e.EncodeString(string(s.Machine)),
			e.EncodeUint(uint64(s.Session)), s.Tasks.Pack(e))
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Record) unpack(d *msgpack.Decoder) error {
	n, err := wire.ArrayLen(d)
	last := unit.JobID("")
	for ; n > 0 && err == nil; n-- {
		var s Start
		if err = s.unpack(d, last); err == nil {
			r.Starts = append(r.Starts, s)
			last = s.Job
		}
	}
	return err
}

func (s *Start) unpack(d *msgpack.Decoder, last unit.JobID) error {
	job, err := wire.Text(d)
	if err != nil {
		return err
	}
	machine, err := wire.Text(d)
	if err != nil {
		return err
	}
	session, err := wire.Count(d)
	if err != nil {
		return err
	}
	s.Job, s.Machine, s.Session = unit.JobID(job), unit.MachineID(machine), unit.Session(session)
	if job == "" {
		s.Job = last
	}
	return s.Tasks.Unpack(d)
}

// Empty tells whether the round decides nothing.
func (r *Record) Empty() bool {
	return len(r.Starts) == 0 && len(r.Hires) == 0 && len(r.Releases) == 0
}

// HireName is the name of the n-th rental of a round. It holds the epoch, so
// that a round number lost with its leader can't bring a name back.
func HireName(epoch unit.Epoch, no unit.RoundNo, n int) string {
	return fmt.Sprintf("r-%d-%d-%d", epoch, no, n)
}

// Sizes, in JSON, of the parts of a record with the longest numbers that occur.
const (
	recordSize  = 160
	startHead   = 12 // bytes, packed
	hireSize    = 120
	releaseSize = 4
)

// SizeOf bounds the JSON size of a start that does not follow one of its job.
func (s *Start) SizeOf() int {
	return wire.PackedLen(startHead + len(s.Job) + len(s.Machine) + s.Tasks.PackedSize())
}

// SizeOf bounds the JSON size of the record.
func (r *Record) SizeOf() int {
	n := recordSize
	for i := range r.Starts {
		n += r.Starts[i].SizeOf()
	}
	for _, h := range r.Hires {
		n += hireSize + len(h.Name) + len(h.Offer.Type) + len(h.Offer.Zone)
	}
	for _, m := range r.Releases {
		n += releaseSize + len(m)
	}
	return n
}

type slot struct {
	version  unit.Version
	no       unit.RoundNo
	jobs     map[unit.JobID]bool
	hires    map[string]bool
	releases map[unit.MachineID]bool
}

func (s *slot) open() bool { return len(s.jobs)+len(s.hires)+len(s.releases) > 0 }

// Ring is the small ring of round records. A slot is used again once all that
// its round decided is settled elsewhere.
type Ring struct {
	slots []slot
	next  unit.RoundNo
}

// NewRing returns an empty ring of n slots.
func NewRing(n int) *Ring { return &Ring{slots: make([]slot, n), next: 1} }

// Key is the key of the slot that round no goes to.
func (g *Ring) Key(no unit.RoundNo) string {
	return KeyPrefix + strconv.Itoa(int(no%unit.RoundNo(len(g.slots))))
}

func (g *Ring) slotOf(no unit.RoundNo) *slot { return &g.slots[no%unit.RoundNo(len(g.slots))] }

// Next is the number of the next round, and whether its slot is free.
func (g *Ring) Next() (unit.RoundNo, bool) { return g.next, !g.slotOf(g.next).open() }

// Fresh tells whether no round was ever recorded: nothing has been rented or
// placed by anybody.
func (g *Ring) Fresh() bool { return g.next == 1 }

// Version is the version of the slot that round no goes to.
func (g *Ring) Version(no unit.RoundNo) unit.Version { return g.slotOf(no).version }

// Low is the lowest round that is not settled.
func (g *Ring) Low() unit.RoundNo {
	low := g.next
	for i := range g.slots {
		if g.slots[i].open() {
			low = min(low, g.slots[i].no)
		}
	}
	return low
}

// Free counts the free slots.
func (g *Ring) Free() int {
	n := 0
	for i := range g.slots {
		if !g.slots[i].open() {
			n++
		}
	}
	return n
}

// Put takes in a record that is stored with the version.
func (g *Ring) Put(r *Record, v unit.Version) {
	s := slot{version: v, no: r.No, jobs: map[unit.JobID]bool{}, hires: map[string]bool{}, releases: map[unit.MachineID]bool{}}
	for _, st := range r.Starts {
		s.jobs[st.Job] = true
	}
	for _, h := range r.Hires {
		s.hires[h.Name] = true
	}
	for _, m := range r.Releases {
		s.releases[m] = true
	}
	*g.slotOf(r.No) = s
	g.next = max(g.next, r.No+1)
}

// Stored is a record read back with its version.
type Stored struct {
	Key     string
	Record  *Record
	Version unit.Version
}

// Restore makes a ring from what a successor reads: records in the order of
// their rounds. Those below the Low of the newest are settled already.
func Restore(n int, stored []Stored) (*Ring, []*Record) {
	g := NewRing(n)
	sort.Slice(stored, func(a, b int) bool { return stored[a].Record.No < stored[b].Record.No })
	var open []*Record
	low := unit.RoundNo(0)
	for _, s := range stored {
		low = max(low, s.Record.Low)
	}
	for _, s := range stored {
		if s.Record.No >= low {
			g.Put(s.Record, s.Version)
			open = append(open, s.Record)
			continue
		}
		g.Put(&Record{No: s.Record.No}, s.Version)
	}
	return g, open
}

// Folded notes that the checkpoint of a job holds all rounds up to through.
func (g *Ring) Folded(job unit.JobID, through unit.RoundNo) {
	for i := range g.slots {
		if s := &g.slots[i]; s.no <= through {
			delete(s.jobs, job)
		}
	}
}

// SettleHire notes that a rental has been answered for good.
func (g *Ring) SettleHire(name string) {
	for i := range g.slots {
		delete(g.slots[i].hires, name)
	}
}

// SettleRelease notes that a machine is gone.
func (g *Ring) SettleRelease(m unit.MachineID) {
	for i := range g.slots {
		delete(g.slots[i].releases, m)
	}
}

// Oldest returns the jobs that keep the oldest open slot open.
func (g *Ring) Oldest() []unit.JobID {
	var s *slot
	for i := range g.slots {
		if g.slots[i].open() && (s == nil || g.slots[i].no < s.no) {
			s = &g.slots[i]
		}
	}
	if s == nil {
		return nil
	}
	var out []unit.JobID
	for j := range s.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

package userapi

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

const (
	// MaxBody bounds the bodies of users' requests.
	MaxBody  = 64 << 10
	maxTasks = 100_000
	maxName  = 128
	maxList  = 32
	// maxAmount bounds amounts, so that sums of them stay exact enough.
	maxAmount = 1e9
)

// Submission is a job as its user submits it.
type Submission struct {
	ID   unit.JobID
	Spec checkpoint.Spec
}

// ErrMalformed says that a submission gets 400.
var ErrMalformed = errors.New("malformed submission")

var priorities = map[string]checkpoint.Priority{
	"prod": checkpoint.PriorityProd, "high": checkpoint.PriorityHigh,
	"standard": checkpoint.PriorityStandard, "best_effort": checkpoint.PriorityBestEffort,
}

type parser struct {
	sub  Submission
	seen map[string]bool
}

// DecodeSubmission reads a submission strictly: each field there, of its type,
// sign, size and spelling.
func DecodeSubmission(data []byte) (*Submission, error) {
	p := &parser{seen: map[string]bool{}}
	rd := bytes.NewReader(data)
	if err := wire.DecodeMap(msgpack.NewDecoder(rd), p.fields()); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if rd.Len() > 0 {
		return nil, fmt.Errorf("%w: bytes after the map", ErrMalformed)
	}
	for _, name := range required {
		if !p.seen[name] {
			return nil, fmt.Errorf("%w: %s is missing", ErrMalformed, name)
		}
	}
	if s := &p.sub.Spec; s.Service {
		s.EstimatedRunSeconds = 0
	}
	return &p.sub, nil
}

var required = []string{"id", "ledgerClass", "desk", "shape", "rank", "entries", "cpus", "accelerators",
	"memoryGb", "samePlace", "apart", "loaner", "bundle", "imageGb", "expectedS", "folioS", "bindS"}

type reader = func(*msgpack.Decoder) error

func (p *parser) fields() map[string]reader {
	s := &p.sub.Spec
	return map[string]reader{
		"id":           p.text("id", p.setID),
		"ledgerClass":  p.text("ledgerClass", func(v string) error { s.Class = unit.Class(v); return nil }),
		"desk":         p.text("desk", func(v string) error { s.Team = unit.Team(v); return nil }),
		"shape":        p.text("shape", p.setShape),
		"rank":         p.text("rank", p.setPriority),
		"bundle":       p.text("bundle", func(v string) error { s.Image = unit.Image(v); return nil }),
		"entries":      p.count(&s.Tasks),
		"cpus":         p.amount("cpus", &s.CPUs, true),
		"accelerators": p.amount("accelerators", &s.GPUs, false),
		"memoryGb":     p.amount("memoryGb", &s.MemoryGB, false),
		"imageGb":      p.amount("imageGb", &s.ImageGB, false),
		"expectedS":    p.amount("expectedS", &s.EstimatedRunSeconds, false),
		"folioS":       p.amount("folioS", &s.CheckpointIntervalSeconds, false),
		"bindS":        p.amount("bindS", &s.CheckpointSeconds, false),
		"dueS":         p.optional(p.amount("dueS", &s.DeadlineSeconds, false)),
		"samePlace":    p.flag("samePlace", &s.ZoneAffinity),
		"apart":        p.flag("apart", &s.ZoneSpread),
		"loaner":       p.flag("loaner", &s.Spot),
		"hall":         p.optional(p.text("hall", func(v string) error { s.Zone = unit.Zone(v); return nil })),
		"frames":       p.optional(p.setTypes),
	}
}

func (p *parser) setID(v string) error {
	id, err := unit.ParseJobID(v)
	p.sub.ID = id
	return err
}

func (p *parser) setShape(v string) error {
	switch v {
	case "batch":
	case "service":
		p.sub.Spec.Service = true
	case "group":
		p.sub.Spec.Gang = true
	default:
		return fmt.Errorf("%.32q is no shape", v)
	}
	return nil
}

func (p *parser) setPriority(v string) error {
	rank, ok := priorities[v]
	if !ok {
		return fmt.Errorf("%.32q is no rank", v)
	}
	p.sub.Spec.Priority = rank
	return nil
}

func (p *parser) setTypes(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 1 || n > maxList {
		return fmt.Errorf("list of %d", n)
	}
	for range n {
		v, err := wire.DecodeString(d)
		if err != nil || v == "" || len(v) > maxName {
			return errors.New("not a list of names")
		}
		p.sub.Spec.MachineTypes = append(p.sub.Spec.MachineTypes, unit.MachineType(v))
	}
	return nil
}

// optional lets a field be null, which is the same as leaving it out.
func (p *parser) optional(read reader) reader {
	return func(d *msgpack.Decoder) error {
		if null, err := wire.DecodeNil(d); null || err != nil {
			return err
		}
		return read(d)
	}
}

func (p *parser) text(name string, set func(string) error) reader {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeString(d)
		if err != nil {
			return err
		}
		if v == "" || len(v) > maxName || strings.ContainsFunc(v, func(r rune) bool { return r < ' ' }) {
			return errors.New("empty, too long, or with control characters")
		}
		p.seen[name] = true
		return set(v)
	}
}

func (p *parser) amount(name string, to *float64, positive bool) reader {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeAmount(d)
		if err != nil {
			return err
		}
		if v > maxAmount || positive && v == 0 {
			return fmt.Errorf("%v is out of range", v)
		}
		p.seen[name] = true
		*to = v
		return nil
	}
}

func (p *parser) count(to *int) reader {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeCount(d)
		if err != nil {
			return err
		}
		if v < 1 || v > maxTasks {
			return fmt.Errorf("%d is not between 1 and %d", v, maxTasks)
		}
		p.seen["entries"] = true
		*to = int(v)
		return nil
	}
}

func (p *parser) flag(name string, to *bool) reader {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeBool(d)
		if err != nil {
			return err
		}
		p.seen[name] = true
		*to = v
		return nil
	}
}

// Standing is the state of a job as its user sees it.
type Standing string

// Standings.
const (
	Queued    Standing = "queued"
	Running   Standing = "running"
	Done      Standing = "done"
	Cancelled Standing = "cancelled"
)

// Status is what a poll answers.
type Status struct {
	Standing      Standing
	Done, Running int
}

type wireStatus struct {
	ID       unit.JobID `msgpack:"id"`
	Standing Standing   `msgpack:"standing"`
	Done     *int       `msgpack:"done,omitempty"`
	Running  *int       `msgpack:"running,omitempty"`
}

// StatusOf is the state of a job by its working copy. A phase counts only once
// it is stored.
func StatusOf(j *checkpoint.Job) Status {
	return status(j.StoredPhase, j.Done.Len(), j.RunningTasks())
}

// StatusOfRecord is the state of a job by its record.
func StatusOfRecord(r *checkpoint.Record) Status {
	if o := r.ChunkInfo; o != nil {
		return status(r.Phase, o.DoneTasks, o.LiveTasks)
	}
	return status(r.Phase, r.Done.Len(), r.LiveTasks())
}

func status(phase checkpoint.Phase, done, running int) Status {
	s := Status{Standing: Queued, Done: done, Running: running}
	switch {
	case phase == checkpoint.PhaseDone:
		s.Standing, s.Running = Done, 0
	case phase == checkpoint.PhaseCancelled:
		s.Standing, s.Running = Cancelled, 0
	case running > 0:
		s.Standing = Running
	}
	return s
}

// EncodeStatus makes the body of a 200 or 201.
func EncodeStatus(id unit.JobID, s Status) ([]byte, error) {
	w := wireStatus{ID: id, Standing: s.Standing}
	w.Done, w.Running = &s.Done, &s.Running
	return msgpack.Marshal(w)
}

package api

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/jobs"
	"badgerbay/internal/wire"
)

const (
	// MaxBodyBytes bounds the bodies of users' requests.
	MaxBodyBytes    = 64 << 10
	maxTasks        = 100_000
	maxNameBytes    = 128
	maxMachineTypes = 32
	// maxAmount bounds amounts, so that sums of them stay exact enough.
	maxAmount = 1e9
)

// Submission is a job as its user submits it.
type Submission struct {
	ID   ident.JobID
	Spec jobs.Spec
}

// ErrMalformed says that a submission gets 400.
var ErrMalformed = errors.New("malformed submission")

var priorityByName = map[string]jobs.Priority{
	"prod": jobs.PriorityProd, "high": jobs.PriorityHigh,
	"standard": jobs.PriorityStandard, "best_effort": jobs.PriorityBestEffort,
}

type submissionDecoder struct {
	submission Submission
	seen       map[string]bool
}

// DecodeSubmission reads a submission strictly: each field there, of its type,
// sign, size and spelling.
func DecodeSubmission(data []byte) (*Submission, error) {
	p := &submissionDecoder{seen: map[string]bool{}}
	rd := bytes.NewReader(data)
	if err := wire.DecodeMap(msgpack.NewDecoder(rd), p.fields()); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if rd.Len() > 0 {
		return nil, fmt.Errorf("%w: bytes after the map", ErrMalformed)
	}
	for _, name := range requiredFields {
		if !p.seen[name] {
			return nil, fmt.Errorf("%w: %s is missing", ErrMalformed, name)
		}
	}
	if s := &p.submission.Spec; s.Service {
		s.EstimatedRunSeconds = 0
	}
	return &p.submission, nil
}

var requiredFields = []string{"id", "ledgerClass", "desk", "shape", "rank", "entries", "cpus", "accelerators",
	"memoryGb", "samePlace", "apart", "loaner", "bundle", "imageGb", "expectedS", "folioS", "bindS"}

type fieldDecoder = func(*msgpack.Decoder) error

func (p *submissionDecoder) fields() map[string]fieldDecoder {
	s := &p.submission.Spec
	return map[string]fieldDecoder{
		"id":           p.text("id", p.setID),
		"ledgerClass":  p.text("ledgerClass", func(v string) error { s.Class = ident.Class(v); return nil }),
		"desk":         p.text("desk", func(v string) error { s.Team = ident.Team(v); return nil }),
		"shape":        p.text("shape", p.setKind),
		"rank":         p.text("rank", p.setPriority),
		"bundle":       p.text("bundle", func(v string) error { s.Image = ident.Image(v); return nil }),
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
		"hall":         p.optional(p.text("hall", func(v string) error { s.Zone = ident.Zone(v); return nil })),
		"frames":       p.optional(p.decodeMachineTypes),
	}
}

func (p *submissionDecoder) setID(v string) error {
	id, err := ident.ParseJobID(v)
	p.submission.ID = id
	return err
}

func (p *submissionDecoder) setKind(v string) error {
	switch v {
	case "batch":
	case "service":
		p.submission.Spec.Service = true
	case "group":
		p.submission.Spec.Gang = true
	default:
		return fmt.Errorf("%.32q is no shape", v)
	}
	return nil
}

func (p *submissionDecoder) setPriority(v string) error {
	rank, ok := priorityByName[v]
	if !ok {
		return fmt.Errorf("%.32q is no rank", v)
	}
	p.submission.Spec.Priority = rank
	return nil
}

func (p *submissionDecoder) decodeMachineTypes(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 1 || n > maxMachineTypes {
		return fmt.Errorf("list of %d", n)
	}
	for range n {
		v, err := wire.DecodeString(d)
		if err != nil || v == "" || len(v) > maxNameBytes {
			return errors.New("not a list of names")
		}
		p.submission.Spec.MachineTypes = append(p.submission.Spec.MachineTypes, ident.MachineType(v))
	}
	return nil
}

// optional lets a field be null, which is the same as leaving it out.
func (p *submissionDecoder) optional(read fieldDecoder) fieldDecoder {
	return func(d *msgpack.Decoder) error {
		if null, err := wire.DecodeNil(d); null || err != nil {
			return err
		}
		return read(d)
	}
}

func (p *submissionDecoder) text(name string, set func(string) error) fieldDecoder {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeString(d)
		if err != nil {
			return err
		}
		if v == "" || len(v) > maxNameBytes || strings.ContainsFunc(v, func(r rune) bool { return r < ' ' }) {
			return errors.New("empty, too long, or with control characters")
		}
		p.seen[name] = true
		return set(v)
	}
}

func (p *submissionDecoder) amount(name string, to *float64, positive bool) fieldDecoder {
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

func (p *submissionDecoder) count(to *int) fieldDecoder {
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

func (p *submissionDecoder) flag(name string, to *bool) fieldDecoder {
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

// JobState is the state of a job as its user sees it.
type JobState string

// Standings.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// Status is what a poll answers.
type Status struct {
	State                   JobState
	DoneTasks, RunningTasks int
}

type statusMessage struct {
	ID           ident.JobID `msgpack:"id"`
	State        JobState    `msgpack:"standing"`
	DoneTasks    *int        `msgpack:"done,omitempty"`
	RunningTasks *int        `msgpack:"running,omitempty"`
}

// StatusOfJob is the state of a job by its working copy. A phase counts only once
// it is stored.
func StatusOfJob(j *jobs.Job) Status {
	return newStatus(j.StoredPhase, j.Done.Len(), j.RunningTasks())
}

// StatusOfRecord is the state of a job by its record.
func StatusOfRecord(r *jobs.Record) Status {
	if o := r.ChunkInfo; o != nil {
		return newStatus(r.Phase, o.DoneTasks, o.LiveTasks)
	}
	return newStatus(r.Phase, r.Done.Len(), r.LiveTasks())
}

func newStatus(phase jobs.Phase, done, running int) Status {
	s := Status{State: Queued, DoneTasks: done, RunningTasks: running}
	switch {
	case phase == jobs.PhaseDone:
		s.State, s.RunningTasks = Done, 0
	case phase == jobs.PhaseCancelled:
		s.State, s.RunningTasks = Cancelled, 0
	case running > 0:
		s.State = Running
	}
	return s
}

// EncodeStatus makes the body of a 200 or 201.
func EncodeStatus(id ident.JobID, s Status) ([]byte, error) {
	w := statusMessage{ID: id, State: s.State}
	w.DoneTasks, w.RunningTasks = &s.DoneTasks, &s.RunningTasks
	return msgpack.Marshal(w)
}

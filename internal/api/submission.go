package api

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/wire"
)

const (
	// MaxBodyBytes is the maximum size of the body of a user's request.
	MaxBodyBytes    = 64 << 10
	maxTasks        = 100_000
	maxNameBytes    = 128
	maxMachineTypes = 32
	// maxAmount is the maximum of every resource quantity and duration of a submission.
	// It keeps the rounding errors of floating-point sums of them small.
	maxAmount = 1e9
)

// Submission is a job that a user submits.
type Submission struct {
	ID   ident.JobID
	Spec jobs.Spec
}

// ErrMalformed is returned, wrapped, by DecodeSubmission when a submission is malformed.
var ErrMalformed = errors.New("malformed submission")

// DecodeSubmission decodes the MessagePack body of a submission. It is strict: every
// required field must be present, and the value of every known field must have the right
// type and be within its bounds or, for an enumeration, one of its names. Unknown fields
// are skipped. Errors wrap ErrMalformed.
func DecodeSubmission(data []byte) (*Submission, error) {
	submission := new(Submission)
	if err := decodeFields(data, submissionFields(submission)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if submission.Spec.Service {
		submission.Spec.EstimatedRunSeconds = 0 // a service runs until it is cancelled
	}
	return submission, nil
}

// fieldDecoder decodes and stores the value of one field.
type fieldDecoder = func(*msgpack.Decoder) error

// field is one known field of a submission.
type field struct {
	name     string // the key on the wire
	decode   fieldDecoder
	optional bool // whether the field may be absent or null
}

// decodeFields decodes a map of fields. The map must span all of data.
func decodeFields(data []byte, fields []field) error {
	decoders := make(map[string]fieldDecoder, len(fields))
	present := make(map[string]bool, len(fields))
	for _, f := range fields {
		decoders[f.name] = func(d *msgpack.Decoder) error {
			if f.optional {
				if isNil, err := wire.DecodeNil(d); isNil || err != nil {
					return err
				}
			}
			present[f.name] = true
			return f.decode(d)
		}
	}
	reader := bytes.NewReader(data)
	if err := wire.DecodeMap(msgpack.NewDecoder(reader), decoders); err != nil {
		return err
	}
	if reader.Len() > 0 {
		return errors.New("trailing bytes after the map")
	}
	missing := slices.IndexFunc(fields, func(f field) bool { return !f.optional && !present[f.name] })
	if missing >= 0 {
		return fmt.Errorf("missing field %s", fields[missing].name)
	}
	return nil
}

// submissionFields returns the known fields of a submission: their wire names, and
// decoders that store their values in to.
func submissionFields(to *Submission) []field {
	spec := &to.Spec
	return []field{
		{name: "id", decode: stringField(func(v string) (err error) { to.ID, err = ident.ParseJobID(v); return err })},
		{name: "ledgerClass", decode: nameField(&spec.Class)},
		{name: "desk", decode: nameField(&spec.Team)},
		{name: "shape", decode: stringField(func(v string) error { return setKind(spec, v) })},
		{name: "rank", decode: stringField(func(v string) error { return setPriority(spec, v) })},
		{name: "entries", decode: taskCountField(&spec.Tasks)},
		{name: "cpus", decode: positiveAmountField(&spec.CPUs)},
		{name: "accelerators", decode: amountField(&spec.GPUs)},
		{name: "memoryGb", decode: amountField(&spec.MemoryGB)},
		{name: "samePlace", decode: boolField(&spec.ZoneAffinity)},
		{name: "apart", decode: boolField(&spec.ZoneSpread)},
		{name: "loaner", decode: boolField(&spec.Spot)},
		{name: "bundle", decode: nameField(&spec.Image)},
		{name: "imageGb", decode: amountField(&spec.ImageGB)},
		{name: "expectedS", decode: amountField(&spec.EstimatedRunSeconds)},
		{name: "folioS", decode: amountField(&spec.CheckpointIntervalSeconds)},
		{name: "bindS", decode: amountField(&spec.CheckpointSeconds)},
		{name: "dueS", decode: amountField(&spec.DeadlineSeconds), optional: true},
		{name: "hall", decode: nameField(&spec.Zone), optional: true},
		{name: "frames", decode: machineTypesField(spec), optional: true},
	}
}

func setKind(spec *jobs.Spec, v string) error {
	switch v {
	case "batch":
	case "service":
		spec.Service = true
	case "group":
		spec.Gang = true
	default:
		return fmt.Errorf("unknown shape %.32q", v)
	}
	return nil
}

var priorityByName = map[string]jobs.Priority{
	"prod":        jobs.PriorityProd,
	"high":        jobs.PriorityHigh,
	"standard":    jobs.PriorityStandard,
	"best_effort": jobs.PriorityBestEffort,
}

func setPriority(spec *jobs.Spec, v string) error {
	priority, ok := priorityByName[v]
	if !ok {
		return fmt.Errorf("unknown rank %.32q", v)
	}
	spec.Priority = priority
	return nil
}

// machineTypesField returns a decoder of a list of machine type names.
func machineTypesField(spec *jobs.Spec) fieldDecoder {
	return func(d *msgpack.Decoder) error {
		n, err := d.DecodeArrayLen()
		if err != nil {
			return err
		}
		if n < 1 || n > maxMachineTypes {
			return fmt.Errorf("list has %d elements, want 1 to %d", n, maxMachineTypes)
		}
		for range n {
			v, err := wire.DecodeString(d)
			if err != nil || v == "" || len(v) > maxNameBytes {
				return errors.New("list element is not a string, empty or too long")
			}
			spec.MachineTypes = append(spec.MachineTypes, ident.MachineType(v))
		}
		return nil
	}
}

// stringField returns a decoder that passes a string to set. The string must not be
// empty, longer than maxNameBytes, or contain control characters.
func stringField(set func(string) error) fieldDecoder {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeString(d)
		if err != nil {
			return err
		}
		if v == "" || len(v) > maxNameBytes || strings.ContainsFunc(v, isControl) {
			return errors.New("string is empty, too long or contains control characters")
		}
		return set(v)
	}
}

func isControl(r rune) bool { return r < ' ' }

// nameField returns a decoder of a name; see stringField for the accepted strings.
func nameField[T ~string](to *T) fieldDecoder {
	return stringField(func(v string) error { *to = T(v); return nil })
}

// amountField returns a decoder of a quantity or duration between 0 and maxAmount.
func amountField(to *float64) fieldDecoder {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeAmount(d)
		if err != nil {
			return err
		}
		if v > maxAmount {
			return fmt.Errorf("%v exceeds the maximum of %v", v, maxAmount)
		}
		*to = v
		return nil
	}
}

// positiveAmountField returns a decoder of a quantity above 0 and up to maxAmount.
func positiveAmountField(to *float64) fieldDecoder {
	decode := amountField(to)
	return func(d *msgpack.Decoder) error {
		if err := decode(d); err != nil {
			return err
		}
		if *to == 0 {
			return errors.New("0 is not allowed")
		}
		return nil
	}
}

// taskCountField returns a decoder of an integer between 1 and maxTasks.
func taskCountField(to *int) fieldDecoder {
	return func(d *msgpack.Decoder) error {
		v, err := wire.DecodeCount(d)
		if err != nil {
			return err
		}
		if v < 1 || v > maxTasks {
			return fmt.Errorf("%d is not between 1 and %d", v, maxTasks)
		}
		*to = int(v)
		return nil
	}
}

// boolField returns a decoder of a boolean.
func boolField(to *bool) fieldDecoder {
	return func(d *msgpack.Decoder) (err error) {
		*to, err = wire.DecodeBool(d)
		return err
	}
}

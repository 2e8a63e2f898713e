package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run: one line for each event, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("creating the record: %w", err)
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// elapsed returns the time since the start of the run.
func (r *recorder) elapsed() time.Duration { return time.Since(r.start) }

// logf adds an event to the record.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// verdictf adds a line to the record and prints it.
func (r *recorder) verdictf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() { r.file.Close() }

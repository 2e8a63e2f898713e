package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the case began.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	echo    bool
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now(), echo: os.Getenv("ECHO") != ""}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.file.WriteString(line)
	if r.echo {
		os.Stdout.WriteString(line)
	}
}

package config

import "fmt"

// FieldError names the setting that is wrong: of the settings file, of the operators'
// script or of the environment.
type FieldError struct {
	Field string
	Err   error // why
}

// FieldErrorf returns a FieldError. The format may wrap a cause with %w.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Error implements error on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns why the setting is wrong.
func (e *FieldError) Unwrap() error { return e.Err }

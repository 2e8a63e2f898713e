package config

import "fmt"

// FieldError is returned when a setting is invalid. It names the setting, which is a field
// of the settings file, a name in the operators' script or an environment variable.
type FieldError struct {
	Field string
	Err   error // the reason why the setting is invalid
}

// FieldErrorf returns a FieldError for the field, with the formatted message as its reason.
// The format may wrap a cause with %w.
func FieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Error returns the field and the reason on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason why the setting is invalid.
func (e *FieldError) Unwrap() error { return e.Err }

// Package problem decodes configuration files strictly and collects all problems of
// a file, so that they are reported together.
package problem

import (
	"strconv"
	"strings"
)

// Problem is a problem of a configuration file.
type Problem struct {
	File string `json:"file"`
	// Field is the path of the field, such as accounts[2].weight; empty means the whole file.
	Field    string `json:"field"`
	Expected string `json:"expected"`
	Found    string `json:"found"`
}

// String formats the problem as "FILE: FIELD: expected ..., found ...".
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "file"
	}
	return p.File + ": " + field + ": expected " + p.Expected + ", found " + p.Found
}

// Error is the error for a file that has problems, at least one.
type Error struct {
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// maxProblems limits the problems of one file; a file with random content would
// otherwise give an unlimited report.
const maxProblems = 200

// List collects the problems of one file.
type List struct {
	file     string
	problems []Problem
	fields   map[string]bool
}

// NewList returns an empty list for the file.
func NewList(file string) *List { return &List{file: file, fields: map[string]bool{}} }

// Add records one problem. Only the first one of a field is kept: a value of the
// wrong type would otherwise be reported again as missing.
func (l *List) Add(field, expected, found string) {
	if !l.fields[field] && len(l.problems) < maxProblems {
		l.fields[field] = true
		l.problems = append(l.problems, Problem{File: l.file, Field: field, Expected: expected, Found: found})
	}
}

// Empty reports whether no problem was recorded.
func (l *List) Empty() bool { return len(l.problems) == 0 }

// Err returns an *Error with the recorded problems, or nil if there are none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Problems: l.problems}
}

// Join returns the path of a field within the object at path.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// At returns the path of element i of the list at path.
func At(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// Quote quotes a value of a file for display and truncates it to a readable length.
func Quote(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	return strconv.Quote(s)
}

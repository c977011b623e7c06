// Package problem collects everything that is wrong with a configuration file,
// so that one run reports all of it.
package problem

import (
	"strconv"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File string `json:"file"`
	// Field is the path of the field, as in accounts[2].weight; empty means the whole file.
	Field    string `json:"field"`
	Expected string `json:"expected"`
	Found    string `json:"found"`
}

// String returns the problem as FILE: FIELD: expected ..., found ....
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "file"
	}
	return p.File + ": " + field + ": expected " + p.Expected + ", found " + p.Found
}

// Error is the error of a file with problems. It holds at least one.
type Error struct {
	Problems []Problem
}

// Error returns all problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// limit bounds the list for one file; a file of garbage would otherwise report without end.
const limit = 200

// List collects the problems of one file.
type List struct {
	file     string
	problems []Problem
	fields   map[string]bool
}

// NewList returns an empty list for that file.
func NewList(file string) *List { return &List{file: file, fields: map[string]bool{}} }

// Add records one problem. The first one of a field stands: a value of the wrong
// type would otherwise be reported again as missing.
func (l *List) Add(field, expected, found string) {
	if !l.fields[field] && len(l.problems) < limit {
		l.fields[field] = true
		l.problems = append(l.problems, Problem{File: l.file, Field: field, Expected: expected, Found: found})
	}
}

// Empty tells whether nothing was recorded.
func (l *List) Empty() bool { return len(l.problems) == 0 }

// Err returns an *Error with everything recorded, or nil.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Problems: l.problems}
}

// Join returns the path of a field below another.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// At returns the path of an element of a list.
func At(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// Quote returns a value from a file for display, shortened to a readable length.
func Quote(s string) string {
	const most = 64
	if len(s) > most {
		s = s[:most] + "..."
	}
	return strconv.Quote(s)
}

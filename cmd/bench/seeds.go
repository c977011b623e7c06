package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// seedRuns makes one run after the other, each with a seed and a directory of its own.
type seedRuns struct {
	name   string // of the bench, with which the directories begin
	first  uint64
	count  int
	folder string // where the directories are created; empty: the temporary directory
	out    io.Writer
}

// run makes the runs. It keeps the directories of failed ones, prints their paths and returns the last
// failure.
func (s *seedRuns) run(play func(ctx context.Context, seed uint64, directory string) error) error {
	ctx, cancel := signalContext()
	defer cancel()
	// Instances run in the directory of a run, where a relative path names another one.
	if s.folder != "" {
		folder, err := filepath.Abs(s.folder)
		if err != nil {
			return err
		}
		s.folder = folder
	}
	var failed error
	for i := range s.count {
		seed := s.first + uint64(i)
		directory, err := os.MkdirTemp(s.folder, fmt.Sprintf("%s-%d-", s.name, seed))
		if err != nil {
			return err
		}
		err = play(ctx, seed, directory)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			_, _ = fmt.Fprintf(s.out, "%v; logs in %s\n", err, directory)
			failed = err
			continue
		}
		if err := os.RemoveAll(directory); err != nil {
			return err
		}
	}
	return failed
}

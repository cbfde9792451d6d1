// Package parser reads table files and task files: YAML or JSON, strict. An
// error names the file and the line.
package parser

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

// ErrFile reports that a file cannot be read or is not valid.
var ErrFile = eris.New("parser: bad file")

// FileError tells what is wrong with a file.
type FileError struct {
	// File is the file's name.
	File string
	// Line is the line, from 1; zero if the fault has no line.
	Line int
	// Text says what is wrong.
	Text string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Is makes errors.Is(err, ErrFile) hold.
func (e *FileError) Is(target error) bool { return target == ErrFile }

// maxFileBytes bounds a file.
const maxFileBytes = 16 << 20

// Tables reads table files and joins them. Each table may stand in one file
// only. It fails with a *FileError.
func Tables(files []string) (*carobrock.TablesFile, error) {
	all := &carobrock.TablesFile{}
	for _, file := range files {
		t := &carobrock.TablesFile{}
		if err := decodeFile(file, t); err != nil {
			return nil, err
		}
		if err := join(all, t); err != nil {
			return nil, &FileError{File: file, Text: err.Error()}
		}
	}
	return all, nil
}

var errTwice = errors.New("a table stands in two files")

func join(all, t *carobrock.TablesFile) error {
	if t.Routes != nil {
		if all.Routes != nil {
			return errTwice
		}
		all.Routes = t.Routes
		if err := carobrock.CheckRoutes(t.Routes); err != nil {
			return err
		}
	}
	if t.Pools != nil {
		if all.Pools != nil {
			return errTwice
		}
		all.Pools = t.Pools
		return carobrock.CheckPools(t.Pools)
	}
	return nil
}

// Task reads a task file. It fails with a *FileError.
func Task(file string) (*carobrock.TaskSpec, error) {
	t := &carobrock.TaskSpec{}
	if err := decodeFile(file, t); err != nil {
		return nil, err
	}
	if err := carobrock.CheckTask(t); err != nil {
		return nil, &FileError{File: file, Text: err.Error()}
	}
	return t, nil
}

func decodeFile(file string, into any) error {
	data, err := read(file)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return &FileError{File: file, Text: err.Error()}
	}
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(into)
	if errors.Is(err, io.EOF) {
		return &FileError{File: file, Text: "the file is empty"}
	}
	if err == nil {
		return nil
	}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		out := &FileError{File: file, Text: syntax.GetMessage()}
		if token := syntax.GetToken(); token != nil {
			out.Line = token.Position.Line
		}
		return out
	}
	return &FileError{File: file, Text: err.Error()}
}

func read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = errors.New("the file is too large")
	}
	return data, err
}

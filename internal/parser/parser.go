// Package parser reads table files and task files in YAML or JSON. Unknown fields
// are errors. An error gives the file name and, where known, the line number.
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

// ErrInvalidFile reports that a file cannot be read or is invalid.
var ErrInvalidFile = eris.New("parser: invalid file")

// FileError describes an error in a file. It matches ErrInvalidFile.
type FileError struct {
	// File is the path of the file.
	File string
	// Line is the line number, starting at 1, or zero if it is unknown.
	Line int
	// Text describes the error.
	Text string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Is reports whether target is ErrInvalidFile, for use by errors.Is.
func (e *FileError) Is(target error) bool { return target == ErrInvalidFile }

// maxFileBytes is the maximum size of a file in bytes, 16 MiB.
const maxFileBytes = 16 << 20

// ReadTables reads table files and merges them. Each table may be defined in only
// one of the files. It fails with a *FileError.
func ReadTables(files []string) (*carobrock.TablesFile, error) {
	merged := &carobrock.TablesFile{}
	for _, file := range files {
		t := &carobrock.TablesFile{}
		if err := decodeFile(file, t); err != nil {
			return nil, err
		}
		if err := mergeTables(merged, t); err != nil {
			return nil, &FileError{File: file, Text: err.Error()}
		}
	}
	return merged, nil
}

var errDuplicateTable = errors.New("a table is defined in more than one file")

// mergeTables validates the tables of t and adds them to merged. It fails with
// errDuplicateTable if merged already has one of them.
func mergeTables(merged, t *carobrock.TablesFile) error {
	if t.Routes != nil {
		if merged.Routes != nil {
			return errDuplicateTable
		}
		merged.Routes = t.Routes
		if err := carobrock.CheckRoutes(t.Routes); err != nil {
			return err
		}
	}
	if t.Pools != nil {
		if merged.Pools != nil {
			return errDuplicateTable
		}
		merged.Pools = t.Pools
		return carobrock.CheckPools(t.Pools)
	}
	return nil
}

// ReadTask reads and validates a task file. It fails with a *FileError.
func ReadTask(file string) (*carobrock.TaskSpec, error) {
	t := &carobrock.TaskSpec{}
	if err := decodeFile(file, t); err != nil {
		return nil, err
	}
	if err := carobrock.CheckTask(t); err != nil {
		return nil, &FileError{File: file, Text: err.Error()}
	}
	return t, nil
}

// decodeFile decodes a YAML or JSON file. It fails with a *FileError.
func decodeFile(file string, into any) error {
	data, err := readFile(file)
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
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		out := &FileError{File: file, Text: yamlErr.GetMessage()}
		if token := yamlErr.GetToken(); token != nil {
			out.Line = token.Position.Line
		}
		return out
	}
	return &FileError{File: file, Text: err.Error()}
}

// readFile returns the content of a file of at most maxFileBytes.
func readFile(file string) ([]byte, error) {
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

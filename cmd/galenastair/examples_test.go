package main

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A newcomer follows the README with the files of examples/. A setting is renamed, and
// the first command that they type fails.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*")
	is.NoErr(err)
	is.Equal(len(files), 3)
	for _, path := range files {
		is.NoErr(checkFile(path, &bytes.Buffer{}))
	}
}

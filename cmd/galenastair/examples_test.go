package main

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against a change of the settings that makes the files in examples/, which the README
// uses, invalid.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*")
	is.NoErr(err)
	is.Equal(len(files), 3)
	for _, path := range files {
		is.NoErr(checkFile(path, &bytes.Buffer{}))
	}
}

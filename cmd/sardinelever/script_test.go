package main_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	sardinelever "sardinelever.example/sardinelever/cmd/sardinelever"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sardinelever": sardinelever.Main})
}

// TestScripts guards against changes of the output and the exit status of the
// commands and of the bundles that collect writes. The examples folder is copied into
// the working folder of each script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE") != "",
		Setup: func(e *testscript.Env) error {
			return os.CopyFS(filepath.Join(e.WorkDir, "examples"), os.DirFS("../../examples"))
		},
	})
}

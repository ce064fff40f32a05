package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against outdated documentation: every command of docs/OPERATORS.md succeeds, in order,
// against the example system that the page describes.
func TestOperatorsPage(t *testing.T) {
	root, err := filepath.Abs("..")
	require.NoError(t, err)
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATORS.md"))
	require.NoError(t, err)
	script := "set -euo pipefail\n"
	commands := 0
	for _, line := range strings.Split(string(page), "\n") {
		if command, ok := strings.CutPrefix(line, "$ "); ok {
			commands++
			script += "echo '$ '" + shellQuote(command) + "\n" + command + "\n"
		}
	}
	require.Greater(t, commands, 20)

	build := exec.Command("make", "build")
	build.Dir = root
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	run := exec.Command("scripts/up.sh", "examples/sicily.yaml", "bash", "-c", script)
	run.Dir = root
	run.Env = append(os.Environ(), "WORK="+t.TempDir())
	out, err = run.CombinedOutput()
	require.NoError(t, err, string(out))
}

func shellQuote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", `'\''`) + "'"
}

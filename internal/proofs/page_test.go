package proofs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against docs/proofs.md listing a test that does not exist, for example after the test was renamed.
func TestNamesInTheProofsPageExist(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "proofs.md"))
	assert.NilError(t, err)
	declared := make(map[string]bool)
	function := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err = filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range function.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
		return err
	})
	assert.NilError(t, err)
	names := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(page), -1)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		assert.Check(t, declared[name], "%s is not declared", name)
	}
}

package btdocs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../.."

var testName = regexp.MustCompile(`\b([a-z]+)\.((?:Test|Fuzz)[A-Z]\w*)`)

// tree returns the tests as package.Test, and the directories with Go files
// with whether their doc.go has a Usage section.
func tree(t *testing.T) (tests, usage map[string]bool) {
	t.Helper()
	tests, usage = map[string]bool{}, map[string]bool{}
	assert.NilError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		dir := filepath.Dir(path)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		usage[dir] = usage[dir] || filepath.Base(path) == "doc.go" && strings.Contains(file.Doc.Text(), "# Usage")
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && strings.HasSuffix(path, "_test.go") {
				tests[filepath.Base(dir)+"."+f.Name.Name] = true
			}
		}
		return nil
	}))
	return tests, usage
}

// Guards against guarantees that name a test which is gone.
func TestNamedTestsExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "GUARANTEES.md"))
	assert.NilError(t, err)
	tests, _ := tree(t)
	named := testName.FindAllString(string(page), -1)
	assert.Assert(t, len(named) > 20)
	for _, name := range named {
		assert.Check(t, tests[name], "%s does not exist", name)
	}
}

// Guards against packages that do not say how to use them.
func TestUsageSections(t *testing.T) {
	_, usage := tree(t)
	for dir, ok := range usage {
		assert.Check(t, ok, "%s has no doc.go with a Usage section", dir)
	}
}

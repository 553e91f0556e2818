package crocusrack_test

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
)

// pages returns the paths of all pages in this module.
func pages(t *testing.T) []string {
	t.Helper()
	names := []string{"README.md", "CONTRIBUTING.md"}
	err := filepath.WalkDir("docs", func(name string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(name, ".md") {
			names = append(names, name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// readFile returns the text of a file.
func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// headings returns the anchors of a page's headings.
func headings(page string) map[string]bool {
	anchors := map[string]bool{}
	drop := regexp.MustCompile(`[^a-z0-9 -]`)
	for _, line := range regexp.MustCompile(`(?m)^#+ (.*)$`).FindAllStringSubmatch(page, -1) {
		text := drop.ReplaceAllString(strings.ToLower(line[1]), "")
		anchors[strings.ReplaceAll(text, " ", "-")] = true
	}
	return anchors
}

func TestLinksOfPages(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)\s]+)\)`)
	for _, page := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(readFile(t, page), -1) {
			target, anchor, _ := strings.Cut(m[1], "#")
			if strings.Contains(target, "://") {
				continue
			}
			file := page
			if target != "" {
				file = filepath.Join(filepath.Dir(page), target)
			}
			if _, err := os.Stat(file); err != nil {
				t.Errorf("%s: link to %s: %v", page, m[1], err)
				continue
			}
			if anchor != "" && !headings(readFile(t, file))[anchor] {
				t.Errorf("%s: link to %s: no such heading", page, m[1])
			}
		}
	}
}

// functions returns the functions of a Go file, methods as Type.Method.
func functions(t *testing.T, name string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		name := f.Name.Name
		if f.Recv != nil {
			receiver := f.Recv.List[0].Type
			if star, ok := receiver.(*ast.StarExpr); ok {
				receiver = star.X
			}
			if id, ok := receiver.(*ast.Ident); ok {
				name = id.Name + "." + name
			}
		}
		found[name] = true
	}
	return found
}

func TestFunctionsNamedByArchitecture(t *testing.T) {
	const page = "docs/ARCHITECTURE.md"
	place := regexp.MustCompile(`\[([a-z/_]+\.go):([A-Za-z.]+)\]\(\.\./([^)]+)\)`)
	places := place.FindAllStringSubmatch(readFile(t, page), -1)
	if len(places) < 12 {
		t.Fatalf("%s names %d functions; has its form changed?", page, len(places))
	}
	for _, m := range places {
		if m[1] != m[3] {
			t.Errorf("%s: %s links to %s", page, m[1], m[3])
		}
		if !functions(t, m[1])[m[2]] {
			t.Errorf("%s: no %s in %s", page, m[2], m[1])
		}
	}
}

func TestCoreImportsNothingAbove(t *testing.T) {
	above := regexp.MustCompile(`^"crocusrack/(io|stand|cmd)/`)
	err := filepath.WalkDir("core", func(name string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, m := range file.Imports {
			if above.MatchString(m.Path.Value) {
				t.Errorf("%s imports %s", name, m.Path.Value)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

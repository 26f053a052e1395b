package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// checkedPages are the pages whose names must exist in the code. Pages about the past
// (rounds, incidents) keep the names of their time.
var checkedPages = []string{"README.md", "docs/architecture.md", "docs/design.md", "docs/operations.md"}

func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// qualifiedName is package.Name, package.Type.Member or Type.Member.
	qualifiedName = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*){1,2}$`)
	sourcePath    = regexp.MustCompile(`^(cmd|internal)/[\w/.]+$`)
	// packageFile is a file below internal, as package/file.go.
	packageFile = regexp.MustCompile(`^[a-z]+/\w+\.go$`)
	fileName    = regexp.MustCompile(`\.(go|md|toml|txt|json|yml|mod)$`)
)

// settingPrefixes begin the dotted names of settings, which are not names of the code.
var settingPrefixes = []string{"state.", "cloud.", "workers.", "services.", "resources.", "term.", "place.", "rental.", "intake."}

// standardLibrary are the names of Go's library that the pages give.
var standardLibrary = map[string]bool{"net.Dialer": true}

// TestNamesExist checks that names and paths in the pages exist in the code.
func TestNamesExist(t *testing.T) {
	declared := declarations(sources(t))
	for _, page := range checkedPages {
		t.Run(page, func(t *testing.T) {
			for _, span := range codeSpan.FindAllStringSubmatch(readPage(t, page), -1) {
				name := strings.TrimSuffix(span[1], "()")
				if packageFile.MatchString(name) {
					name = "internal/" + name
				}
				switch {
				case sourcePath.MatchString(name):
					if _, err := os.Stat(filepath.Join(repositoryRoot, name)); err != nil {
						t.Errorf("%s is not there", name)
					}
				case fileName.MatchString(name), isSetting(name), standardLibrary[name]:
				case qualifiedName.MatchString(name) && !declared[name]:
					t.Errorf("nothing is called %s", name)
				}
			}
		})
	}
}

// isSetting reports whether a name is a dotted setting in lower case.
func isSetting(name string) bool {
	if name != strings.ToLower(name) {
		return false
	}
	return slices.ContainsFunc(settingPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

// tableRow is a row of a Markdown table with two columns or more.
var tableRow = regexp.MustCompile(`(?m)^\| ([^|\n]+) \| ([^|\n]*) \|`)

// section returns the text below a heading of a page, up to the next one.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, text, found := strings.Cut(readPage(t, page), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no heading %s", page, heading)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	return text
}

// TestImportTable checks the table of packages in the architecture page against the
// imports in the code.
func TestImportTable(t *testing.T) {
	want := imports(sources(t))
	delete(want, "internal/docscheck")
	got := map[string][]string{}
	for _, row := range tableRow.FindAllStringSubmatch(section(t, "docs/architecture.md", "Packages"), -1) {
		spans := codeSpan.FindAllStringSubmatch(row[1], -1)
		if len(spans) != 1 {
			continue
		}
		var list []string
		for _, imported := range codeSpan.FindAllStringSubmatch(row[2], -1) {
			list = append(list, "internal/"+imported[1])
		}
		slices.Sort(list)
		got[spans[0][1]] = list
	}
	for directory, list := range want {
		if !slices.Equal(got[directory], list) {
			t.Errorf("%s imports %v, the page says %v", directory, list, got[directory])
		}
		delete(got, directory)
	}
	for directory := range got {
		t.Errorf("the page has %s, the code has not", directory)
	}
}

// TestLogMessages checks that the operations page explains every log message of the
// program and no other.
func TestLogMessages(t *testing.T) {
	inCode := logMessages(t, sources(t))
	explained := map[string]bool{}
	for _, row := range tableRow.FindAllStringSubmatch(section(t, "docs/operations.md", "Log messages"), -1) {
		for _, span := range codeSpan.FindAllStringSubmatch(row[1], -1) {
			explained[span[1]] = true
		}
	}
	for message, path := range inCode {
		if !explained[message] {
			t.Errorf("%q (%s) is not explained", message, path)
		}
		delete(explained, message)
	}
	for message := range explained {
		t.Errorf("%q is explained and not logged", message)
	}
}

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notSlug = regexp.MustCompile(`[^\w\- ]`)
)

// TestLinks checks that every relative link of the pages leads to a file and a heading
// that are there.
func TestLinks(t *testing.T) {
	pages := []string{"README.md"}
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".md") {
			relative, _ := filepath.Rel(repositoryRoot, path)
			pages = append(pages, relative)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages {
		for _, found := range link.FindAllStringSubmatch(readPage(t, page), -1) {
			if strings.Contains(found[1], "://") {
				continue
			}
			file, anchor, _ := strings.Cut(found[1], "#")
			target := page
			if file != "" {
				target = filepath.Join(filepath.Dir(page), file)
			}
			if _, err := os.Stat(filepath.Join(repositoryRoot, target)); err != nil {
				t.Errorf("%s: %s leads nowhere", page, found[1])
				continue
			}
			if anchor != "" && !hasHeading(readPage(t, target), anchor) {
				t.Errorf("%s: %s has no such heading", page, found[1])
			}
		}
	}
}

// hasHeading reports whether a page has a heading whose anchor is the given one.
func hasHeading(page, anchor string) bool {
	for _, found := range heading.FindAllStringSubmatch(page, -1) {
		slug := notSlug.ReplaceAllString(strings.ToLower(found[1]), "")
		if strings.ReplaceAll(slug, " ", "-") == anchor {
			return true
		}
	}
	return false
}

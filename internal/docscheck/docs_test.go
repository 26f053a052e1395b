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

// checkedPages are the pages whose names must exist in the code. Pages about past events
// (rounds, incidents) keep the names that were in use at the time.
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
	// qualifiedName matches package.Name, package.Type.Member and Type.Member.
	qualifiedName = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*){1,2}$`)
	sourcePath    = regexp.MustCompile(`^(cmd|internal)/[\w/.]+$`)
	// packageFile matches a file below internal in the form package/file.go.
	packageFile = regexp.MustCompile(`^[a-z]+/\w+\.go$`)
	fileName    = regexp.MustCompile(`\.(go|md|toml|txt|json|yml|mod)$`)
)

// settingPrefixes are the prefixes of the dotted names of settings, which are not
// declared in the code.
var settingPrefixes = []string{"state.", "cloud.", "workers.", "services.", "resources.", "term.", "place.", "rental.", "intake."}

// standardLibraryNames are the names of the Go standard library that the pages use.
var standardLibraryNames = map[string]bool{"net.Dialer": true}

// TestNamesExist checks that the names and paths in checkedPages exist in the code.
func TestNamesExist(t *testing.T) {
	declared := declarations(parseSources(t))
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
						t.Errorf("path %s does not exist", name)
					}
				case fileName.MatchString(name), isSetting(name), standardLibraryNames[name]:
				case qualifiedName.MatchString(name) && !declared[name]:
					t.Errorf("name %s is not declared in the code", name)
				}
			}
		})
	}
}

// isSetting reports whether a name is the dotted name of a setting, all in lower case.
func isSetting(name string) bool {
	if name != strings.ToLower(name) {
		return false
	}
	return slices.ContainsFunc(settingPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

// tableRow matches a row of a Markdown table with two or more columns.
var tableRow = regexp.MustCompile(`(?m)^\| ([^|\n]+) \| ([^|\n]*) \|`)

// section returns the text below a second-level heading of a page, up to the next one.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, text, found := strings.Cut(readPage(t, page), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("page %s has no heading %q", page, heading)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	return text
}

// TestImportTable checks the table of packages in the architecture page against the
// imports in the code. Both must list the same packages and imports.
func TestImportTable(t *testing.T) {
	want := imports(parseSources(t))
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
			t.Errorf("package %s imports %v, the page lists %v", directory, list, got[directory])
		}
		delete(got, directory)
	}
	for directory := range got {
		t.Errorf("the page lists package %s, which is not in the code", directory)
	}
}

// TestLogMessages checks that the operations page documents every log message of the
// program, and no message that the program does not log.
func TestLogMessages(t *testing.T) {
	logged := logMessages(t, parseSources(t))
	documented := map[string]bool{}
	for _, row := range tableRow.FindAllStringSubmatch(section(t, "docs/operations.md", "Log messages"), -1) {
		for _, span := range codeSpan.FindAllStringSubmatch(row[1], -1) {
			documented[span[1]] = true
		}
	}
	for message, path := range logged {
		if !documented[message] {
			t.Errorf("log message %q (%s) is not documented", message, path)
		}
		delete(documented, message)
	}
	for message := range documented {
		t.Errorf("log message %q is documented but never logged", message)
	}
}

var (
	link        = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading     = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notInAnchor = regexp.MustCompile(`[^\w\- ]`)
)

// TestLinks checks that every relative link in the pages points to an existing file and,
// if it has an anchor, to an existing heading.
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
				t.Errorf("%s: link %s: file does not exist", page, found[1])
				continue
			}
			if anchor != "" && !hasHeading(readPage(t, target), anchor) {
				t.Errorf("%s: link %s: file has no such heading", page, found[1])
			}
		}
	}
}

// hasHeading reports whether a page has a heading with the given anchor.
func hasHeading(page, anchor string) bool {
	for _, found := range heading.FindAllStringSubmatch(page, -1) {
		slug := notInAnchor.ReplaceAllString(strings.ToLower(found[1]), "")
		if strings.ReplaceAll(slug, " ", "-") == anchor {
			return true
		}
	}
	return false
}

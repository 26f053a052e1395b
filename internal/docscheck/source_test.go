package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// repositoryRoot is the path of the repository's root, relative to this package's directory.
const repositoryRoot = "../.."

// modulePath is the prefix of the import paths of all packages of the project.
const modulePath = "lugward/"

// sourceFile is a Go file that is not a test.
type sourceFile struct {
	path      string // relative to the repository's root, with slashes
	directory string
	syntax    *ast.File
}

// parseSources parses the Go files in cmd and internal, except tests.
func parseSources(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			relative, err := filepath.Rel(repositoryRoot, path)
			if err != nil {
				return err
			}
			relative = filepath.ToSlash(relative)
			directory, _, _ := strings.Cut(relative, "/"+filepath.Base(path))
			files = append(files, sourceFile{path: relative, directory: directory, syntax: syntax})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// declarations returns the names that the packages declare, in the forms Name,
// Type.Member, package.Name and package.Type.Member. Fields and methods are included as
// package.Member, too. Members of embedded types count as members of the type that embeds
// them.
func declarations(files []sourceFile) map[string]bool {
	packages := map[string]*packageNames{}
	for _, file := range files {
		name := file.syntax.Name.Name
		if packages[name] == nil {
			packages[name] = &packageNames{names: map[string]bool{}, members: map[string][]string{}, embedded: map[string][]string{}}
		}
		packages[name].addFile(file.syntax)
	}
	declared := map[string]bool{}
	for pkg, names := range packages {
		for name := range names.names {
			declared[name] = true
			declared[pkg+"."+name] = true
		}
		for typeName := range names.members {
			for _, member := range names.allMembers(typeName) {
				declared[typeName+"."+member] = true
				declared[pkg+"."+typeName+"."+member] = true
				declared[pkg+"."+member] = true
			}
		}
	}
	return declared
}

// packageNames holds the names that the files of a package declare.
type packageNames struct {
	names    map[string]bool     // package-level names
	members  map[string][]string // fields and methods by type
	embedded map[string][]string // names of embedded types by type
}

func (p *packageNames) addFile(file *ast.File) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Recv == nil {
				p.names[d.Name.Name] = true
				continue
			}
			receiver := typeName(d.Recv.List[0].Type)
			p.members[receiver] = append(p.members[receiver], d.Name.Name)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				p.addSpec(spec)
			}
		}
	}
}

func (p *packageNames) addSpec(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			p.names[name.Name] = true
		}
	case *ast.TypeSpec:
		p.names[s.Name.Name] = true
		p.members[s.Name.Name] = append(p.members[s.Name.Name], nil...)
		switch body := s.Type.(type) {
		case *ast.StructType:
			p.addMembers(s.Name.Name, body.Fields)
		case *ast.InterfaceType:
			p.addMembers(s.Name.Name, body.Methods)
		}
	}
}

func (p *packageNames) addMembers(owner string, list *ast.FieldList) {
	for _, member := range list.List {
		for _, name := range member.Names {
			p.members[owner] = append(p.members[owner], name.Name)
		}
		if len(member.Names) == 0 {
			p.embedded[owner] = append(p.embedded[owner], typeName(member.Type))
		}
	}
}

// allMembers returns the members of a type and of the types that it embeds.
func (p *packageNames) allMembers(owner string) []string {
	list := slices.Clone(p.members[owner])
	for _, embedded := range p.embedded[owner] {
		list = append(list, p.allMembers(embedded)...)
	}
	return list
}

// typeName returns the name of a type without pointer, package and type parameters.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.Ident:
		return e.Name
	default:
		return ""
	}
}

// imports returns, by package directory, the project's own packages that the package
// imports.
func imports(files []sourceFile) map[string][]string {
	list := map[string][]string{}
	for _, file := range files {
		list[file.directory] = append(list[file.directory], nil...)
		for _, spec := range file.syntax.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				continue
			}
			if own, ok := strings.CutPrefix(path, modulePath); ok {
				list[file.directory] = append(list[file.directory], own)
			}
		}
	}
	for directory, paths := range list {
		slices.Sort(paths)
		list[directory] = slices.Compact(paths)
	}
	return list
}

// logMethods are the methods of slog.Logger whose first argument is the message.
var logMethods = []string{"Debug", "Info", "Warn", "Error"}

// logMessages returns the messages that the program logs, with the path of a file that
// logs each of them. The simulation tests are not part of the program.
func logMessages(t *testing.T, files []sourceFile) map[string]string {
	t.Helper()
	messages := map[string]string{}
	for _, file := range files {
		if strings.HasPrefix(file.path, "internal/simtest/") {
			continue
		}
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok || !isLogCall(call) {
				return true
			}
			literal, ok := call.Args[0].(*ast.BasicLit)
			if !ok {
				t.Errorf("%s: log message is not a string literal", file.path)
				return true
			}
			message, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			messages[message] = file.path
			return true
		})
	}
	return messages
}

// isLogCall reports whether a call is a call of a logger's method. It identifies loggers by
// the name of the variable or field that the method is called on.
func isLogCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains(logMethods, method.Sel.Name) {
		return false
	}
	switch logger := method.X.(type) {
	case *ast.Ident:
		return strings.EqualFold(logger.Name, "log") || logger.Name == "slog" || logger.Name == "logger"
	case *ast.SelectorExpr:
		return strings.EqualFold(logger.Sel.Name, "log") || logger.Sel.Name == "logger"
	default:
		return false
	}
}

package golden

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// source is a parsed non-test file of the repository.
type source struct {
	folder    string // from the module's root
	generated string // kind of generator; "" for a file that is not generated
	file      *ast.File
}

// sources returns the parsed non-test Go files of the repository.
func sources(t *testing.T) []source {
	t.Helper()
	is := is.New(t)
	list, err := parsedOnce()
	is.NoErr(err)
	is.True(len(list) > 100)
	return list
}

var parsedOnce = sync.OnceValues(parseSources)

func parseSources() (list []source, err error) {
	root, err := moduleRoot()
	if err != nil {
		return nil, err
	}
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != root && (name == "testdata" || name == "vendor" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")) {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		list = append(list, source{filepath.ToSlash(folder), generatorOf(name, file), file})
		return err
	})
	return list, err
}

// generatorOf returns the kind of generator of a file, or "" if it is not generated.
func generatorOf(name string, file *ast.File) string {
	for _, suffix := range []string{"_easyjson.go", ".pb.go", ".twirp.go"} {
		if strings.HasSuffix(name, suffix) {
			return suffix
		}
	}
	if ast.IsGenerated(file) {
		return "another"
	}
	return ""
}

// moduleRoot returns the folder of go.mod.
func moduleRoot() (string, error) {
	folder, err := os.Getwd()
	for err == nil {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
		if folder == filepath.Dir(folder) {
			return "", errors.New("golden: no go.mod in the working directory or above it")
		}
		folder = filepath.Dir(folder)
	}
	return "", err
}

// names is a set of lines, each with the number of times that it was added.
type names map[string]int

func (n names) add(format string, words ...any) { n[fmt.Sprintf(format, words...)]++ }

// text returns the sorted lines, with the number of times that each was added if counted is set.
func (n names) text(counted bool) string {
	var lines []string
	for line, count := range n {
		if counted && count > 1 {
			line = fmt.Sprintf("%s (%d times)", line, count)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// The names in JSON and TOML are an interface to clients, operators and stored files. A line is
// the tags of a struct in the order of its fields, regardless of the struct's name and package.
// An exported field without a tag is listed by its Go name, which is its encoded name.
func TestTagNames(t *testing.T) {
	found := names{}
	for _, s := range sources(t) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			if x, ok := n.(*ast.StructType); ok && s.generated == "" {
				for _, key := range []string{"json", "toml"} {
					if tags := structTags(x, key); len(tags) > 0 {
						found.add("%s struct: %s", key, strings.Join(tags, " "))
					}
				}
			}
			if x, ok := n.(*ast.CaseClause); ok && s.generated == "_easyjson.go" {
				for _, value := range x.List {
					if word, ok := literal(value); ok {
						found.add("easyjson reads: %s", word)
					}
				}
			}
			return true
		})
	}
	compare(t, "tags.txt", found.text(true))
}

// structTags returns the tags of a struct for a key, or none if no field has one.
func structTags(x *ast.StructType, key string) (tags []string) {
	tagged := false
	for _, field := range x.Fields.List {
		tag, has := "", false
		if field.Tag != nil {
			unquoted, _ := strconv.Unquote(field.Tag.Value)
			tag, has = reflect.StructTag(unquoted).Lookup(key)
		}
		if has {
			tagged = true
			tags = append(tags, tag)
			continue
		}
		for _, name := range field.Names {
			if name.IsExported() {
				tags = append(tags, "untagged:"+name.Name)
			}
		}
	}
	if !tagged {
		return nil
	}
	return tags
}

// literal returns the value of a string literal, or of one in a conversion such as []byte("x").
func literal(e ast.Expr) (string, bool) {
	if call, ok := e.(*ast.CallExpr); ok && len(call.Args) == 1 {
		if _, ok := call.Fun.(*ast.ArrayType); ok {
			e = call.Args[0]
		}
	}
	x, ok := e.(*ast.BasicLit)
	if !ok || x.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(x.Value)
	return value, err == nil
}

var (
	canonicalHeader = regexp.MustCompile(`^[A-Z][A-Za-z0-9]*(-[A-Z][A-Za-z0-9]*)+$`)
	anyHeader       = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)
	headerLine      = regexp.MustCompile(`(?:^|\r\n)([A-Za-z][A-Za-z0-9-]*): ?`)
	headerMethod    = regexp.MustCompile(`^(Set|Get|Add|Del|Values|Peek|Has)`)
)

// Header names are an interface to clients and servers.
func TestHeaderNames(t *testing.T) {
	found := names{}
	for _, s := range sources(t) {
		if s.generated == "" {
			ast.Inspect(s.file, func(n ast.Node) bool { headersAt(found, n); return true })
		}
	}
	compare(t, "headers.txt", found.text(false))
}

// headersAt adds the header names at a node.
func headersAt(found names, n ast.Node) {
	switch x := n.(type) {
	case *ast.BasicLit:
		word, ok := literal(x)
		if ok && canonicalHeader.MatchString(word) {
			found.add("%s", word)
		}
		if ok && strings.Contains(word, "\r\n") {
			for _, match := range headerLine.FindAllStringSubmatch(word, -1) {
				found.add("%s", match[1])
			}
		}
	case *ast.CallExpr:
		method, ok := x.Fun.(*ast.SelectorExpr)
		if ok && len(x.Args) > 0 && headerMethod.MatchString(method.Sel.Name) && strings.Contains(types.ExprString(method.X), "Header") {
			if word, ok := literal(x.Args[0]); ok {
				found.add("%s", word)
			}
		}
	case *ast.IndexExpr:
		if word, ok := literal(x.Index); ok && strings.HasSuffix(types.ExprString(x.X), "Header") {
			found.add("%s", word)
		}
	case *ast.CompositeLit: // a header's name and value
		if types.ExprString(x.Type) == "[2]string" && len(x.Elts) == 2 {
			if word, ok := literal(x.Elts[0]); ok && anyHeader.MatchString(word) {
				found.add("%s", word)
			}
		}
	case *ast.SelectorExpr:
		if of, ok := x.X.(*ast.Ident); ok && of.Name == "fasthttp" && strings.HasPrefix(x.Sel.Name, "Header") {
			found.add("fasthttp.%s", x.Sel.Name)
		}
	}
}

var underscored = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)

var environment = regexp.MustCompile(`\bSAFFRONQUAY_[A-Z_]+|\bLB_[A-Z_]+`)

var urlPath = regexp.MustCompile(`^/[A-Za-z_{][A-Za-z0-9_{}/.*-]*$`)

var word = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]*$`)

// The keys of the broker's settings files, which the code reads by name: the literal arguments of
// method calls in the package that contains the schemas.
func TestSettingsKeys(t *testing.T) {
	found := names{}
	folder := settingsFolder(t)
	for _, s := range sources(t) {
		if s.folder != folder {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			if _, ok := call.Fun.(*ast.SelectorExpr); !ok {
				return true
			}
			for i, argument := range call.Args {
				if key, ok := literal(argument); ok && word.MatchString(key) {
					found.add("argument %d %s", i, key)
				}
			}
			return true
		})
	}
	compare(t, "settings.txt", found.text(false))
}

// settingsFolder returns the package that reads the broker's settings files, which is the parent
// folder of the schemas.
func settingsFolder(t *testing.T) (folder string) {
	t.Helper()
	is := is.New(t)
	root, err := moduleRoot()
	is.NoErr(err)
	is.NoErr(filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Name() == "operator.schema.json" {
			folder, err = filepath.Rel(root, filepath.Dir(filepath.Dir(path)))
		}
		return err
	}))
	is.True(folder != "")
	return filepath.ToSlash(folder)
}

// Names that are read and written without tags: literals with underscores (settings, metrics, log
// keys), keys of literal maps, paths, and environment variables.
func TestLiteralNames(t *testing.T) {
	found := names{}
	for _, s := range sources(t) {
		if s.generated != "" {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch x := n.(type) {
			case *ast.BasicLit:
				name, ok := literal(x)
				if ok && underscored.MatchString(name) {
					found.add("underscored %s", name)
				}
				if ok && urlPath.MatchString(name) {
					found.add("path %s", name)
				}
				for _, variable := range environment.FindAllString(name, -1) {
					found.add("environment %s", variable)
				}
			case *ast.CompositeLit:
				if m, ok := x.Type.(*ast.MapType); ok && types.ExprString(m.Key) == "string" {
					for _, element := range x.Elts {
						if pair, ok := element.(*ast.KeyValueExpr); ok {
							if key, ok := literal(pair.Key); ok && word.MatchString(key) {
								found.add("map key %s", key)
							}
						}
					}
				}
			}
			return true
		})
	}
	compare(t, "names.txt", found.text(false))
}

package telemetry_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const metricsPage = "../../docs/operations/metrics.md"

var (
	prefixPattern   = regexp.MustCompile(`^([a-z]+): `)
	tableRowPattern = regexp.MustCompile("(?m)^\\| `([a-z]+):` \\|")
	logMethods      = []string{"Debug", "Info", "Warn", "Error"}
)

// logMessages contains the log messages found in the source code.
type logMessages struct {
	prefixes      map[string]bool
	withoutPrefix []string // messages without a prefix such as "store: "
}

// collectLogMessages parses the source code of internal and cmd/thymeloftd, without
// tests and internal/lab.
func collectLogMessages(g Gomega) logMessages {
	all := logMessages{prefixes: map[string]bool{}}
	for _, root := range []string{"..", "../../cmd/thymeloftd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "lab" {
				return fs.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err == nil {
				ast.Inspect(file, all.visitNode)
			}
			return err
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
	return all
}

func (l *logMessages) visitNode(node ast.Node) bool {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return true
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(logMethods, method.Sel.Name) {
		return true
	}
	text := firstLiteral(call.Args[0])
	if match := prefixPattern.FindStringSubmatch(text); match != nil {
		l.prefixes[match[1]] = true
	} else if text != "" {
		l.withoutPrefix = append(l.withoutPrefix, text)
	}
	return true
}

// firstLiteral returns the string literal that an expression starts with, which may be
// a concatenation. It returns "" if there is none.
func firstLiteral(expression ast.Expr) string {
	if sum, ok := expression.(*ast.BinaryExpr); ok {
		return firstLiteral(sum.X)
	}
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return ""
	}
	text, _ := strconv.Unquote(basic.Value)
	return text
}

// TestLogPageListsPrefixes checks that each log message in the source code begins with
// the prefix of its component, and that the operators' page explains each prefix.
func TestLogPageListsPrefixes(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(metricsPage)
	g.Expect(err).NotTo(HaveOccurred())
	var documented []string
	for _, match := range tableRowPattern.FindAllSubmatch(page, -1) {
		documented = append(documented, string(match[1]))
	}
	all := collectLogMessages(g)
	g.Expect(all.withoutPrefix).To(BeEmpty(), "each log message must begin with the prefix of its component")
	for prefix := range all.prefixes {
		g.Expect(documented).To(ContainElement(prefix))
	}
	g.Expect(len(all.prefixes)).To(BeNumerically(">=", 8))
}

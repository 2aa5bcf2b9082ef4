package commandline_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/commandline"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// problemKinds returns the values of all constants of type problem.Kind, which it
// reads from the source code of the package.
func problemKinds() []problem.Kind {
	file, err := parser.ParseFile(token.NewFileSet(), "../problem/problem.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var kinds []problem.Kind
	ast.Inspect(file, func(node ast.Node) bool {
		value, is := node.(*ast.ValueSpec)
		if !is || len(value.Values) != 1 {
			return true
		}
		kind, named := value.Type.(*ast.Ident)
		literal, text := value.Values[0].(*ast.BasicLit)
		if named && text && kind.Name == "Kind" {
			unquoted, err := strconv.Unquote(literal.Value)
			Expect(err).NotTo(HaveOccurred())
			kinds = append(kinds, problem.Kind(unquoted))
		}
		return true
	})
	return kinds
}

var _ = Describe("documentation", func() {
	It("covers every kind of problem, on the errors page and in the command", func() {
		page, err := os.ReadFile("../../docs/operations/errors.md")
		Expect(err).NotTo(HaveOccurred())
		_, table, found := strings.Cut(string(page), "## Kinds\n")
		Expect(found).To(BeTrue())
		kinds := problemKinds()
		Expect(len(kinds)).To(BeNumerically(">=", 20))
		for _, kind := range kinds {
			Expect(commandline.Advice(kind)).NotTo(BeEmpty(), string(kind))
			row := "| `" + string(kind) + "` | "
			_, rest, found := strings.Cut(table, row)
			Expect(found).To(BeTrue(), "errors.md has no row for %s", kind)
			cells := strings.Split(strings.SplitN(rest, "\n", 2)[0], " | ")
			Expect(cells).To(HaveLen(3))
			Expect(cells[1]).To(Equal(strconv.Itoa(int(commandline.ExitCodeForKind(kind)))), "exit code of %s", kind)
		}
	})
})

package settings_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/settings"
)

// referencePage documents all settings.
const referencePage = "../../docs/settings.md"

// parserKeys returns the keys that the parser accepts. It finds them in the source of the package, as the string
// literals and constants with which the key of a member is compared.
func parserKeys(g *WithT) []string {
	constants := map[string]string{}
	var exprs []ast.Expr
	isKey := func(e ast.Expr) bool {
		s, ok := e.(*ast.SelectorExpr)
		return ok && s.Sel.Name == "key"
	}
	files, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				for i, v := range n.Values {
					if lit, ok := v.(*ast.BasicLit); ok && lit.Kind == token.STRING {
						constants[n.Names[i].Name], _ = strconv.Unquote(lit.Value)
					}
				}
			case *ast.SwitchStmt:
				if n.Tag != nil && isKey(n.Tag) {
					for _, c := range n.Body.List {
						exprs = append(exprs, c.(*ast.CaseClause).List...)
					}
				}
			case *ast.BinaryExpr:
				if n.Op == token.EQL && isKey(n.X) {
					exprs = append(exprs, n.Y)
				}
			}
			return true
		})
	}
	var out []string
	for _, e := range exprs {
		switch e := e.(type) {
		case *ast.BasicLit:
			text, err := strconv.Unquote(e.Value)
			g.Expect(err).NotTo(HaveOccurred())
			out = append(out, text)
		case *ast.Ident:
			g.Expect(constants).To(HaveKey(e.Name))
			out = append(out, constants[e.Name])
		}
	}
	return out
}

// TestReferencePage guards against keys that are not documented, documented keys that the parser does not accept, and
// examples that are invalid.
func TestReferencePage(t *testing.T) {
	g := NewWithT(t)
	raw, err := os.ReadFile(referencePage)
	g.Expect(err).NotTo(HaveOccurred())
	known := parserKeys(g)
	g.Expect(known).To(ContainElements("root", "deadline", "cold", "domains", "stages", "grace"))
	for _, key := range known {
		g.Expect(string(raw)).To(ContainSubstring("`"+key+"`"), "key is not documented")
		g.Expect(string(raw)).To(ContainSubstring(`"`+key+`":`), "key is missing from the examples")
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|").FindAllStringSubmatch(string(raw), -1) {
		g.Expect(known).To(ContainElement(row[1]), "documented key is unknown to the parser")
	}
	examples := regexp.MustCompile("(?s)```json (\\w+)\n(.*?)```").FindAllStringSubmatch(string(raw), -1)
	kinds := map[string]int{}
	for _, e := range examples {
		kinds[e[1]]++
		switch e[1] {
		case "node":
			_, err = settings.ParseNode("example", []byte(e[2]))
		case "gateway":
			_, err = settings.ParseGateway("example", []byte(e[2]))
		default:
			_, err = settings.Parse("example", []byte(e[2]))
		}
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(kinds).To(Equal(map[string]int{"settings": 1, "node": 1, "gateway": 1}))
	g.Expect(strings.Count(string(raw), "```")).To(Equal(2*len(examples)), "a code block is not a json example with a kind")
}

// TestTLS guards against a process that starts without TLS, or fails late, because its settings name only some of the
// files.
func TestTLS(t *testing.T) {
	raw, err := os.ReadFile(referencePage)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	example := regexp.MustCompile("(?s)```json node\n(.*?)```").FindStringSubmatch(string(raw))[1]
	for old, c := range map[string]struct{ next, finding string }{
		`, "ca": "/etc/bluebellflow/ca.pem"`: {"", "node.tls: ca is required"},
		`"/etc/bluebellflow/node.key"`:       {`""`, "node.tls.key: want the path of a PEM file"},
		`"certificate": `:                    {`"cert": `, `node.tls: unknown key "cert"`},
	} {
		g := NewWithT(t)
		g.Expect(example).To(ContainSubstring(old))
		_, err := settings.ParseNode("node", []byte(strings.Replace(example, old, c.next, 1)))
		g.Expect(err).To(MatchError(ContainSubstring(c.finding)))
	}
}

// TestParseGateway guards against accepting gateway settings that are incomplete or out of range.
func TestParseGateway(t *testing.T) {
	raw, err := os.ReadFile(referencePage)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	example := regexp.MustCompile("(?s)```json gateway\n(.*?)```").FindStringSubmatch(string(raw))[1]
	for old, c := range map[string]struct{ next, finding string }{
		`"store": "10.0.0.9:8624", `: {"", "gateway: store is required"},
		`"grace": "8s",`:             {"", "gateway.bounds: grace is required"},
		`"over": 1.5`:                {`"over": -1`, "gateway.bounds.cold.over: -1 is outside 0 to 1000"},
		`, "span": "10s"`:            {"", "gateway.bounds.retry: span is required"},
		`"memory": 284`:              {`"memory": "284"`, "gateway.memory: want an integer"},
		`, "window": "5s"`:           {"", "gateway.duties: window is required"},
		`"rate": 50`:                 {`"rate": 0`, "gateway.duties.rate: want more than 0 calls a second"},
		`"lease": "3000ms"`:          {`"lease": "3ms"`, "gateway.duties.lease: 3ms is outside 500ms to 10m0s"},
		`"metrics": `:                {`"metric": `, `gateway: unknown key "metric"`},
	} {
		g := NewWithT(t)
		g.Expect(example).To(ContainSubstring(old))
		_, err := settings.ParseGateway("gateway", []byte(strings.Replace(example, old, c.next, 1)))
		g.Expect(err).To(MatchError(ContainSubstring(c.finding)))
	}
}

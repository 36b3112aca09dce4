package answer_test

import (
	"encoding/base64"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/lab/answer"
)

func allTokens(s answer.Source, n int) string {
	var out strings.Builder
	for i := range n {
		out.WriteString(s.Token(i, n))
	}
	return out.String()
}

// Guards against a checker that accepts truncated, doubled, mixed or foreign answers.
func TestCheck(t *testing.T) {
	body := []byte(`{"id":1}`)
	mine := answer.Source{Body: body, Stage: "draft", Version: "v1"}
	other := answer.Source{Body: []byte(`{"id":2}`), Stage: "draft", Version: "v1"}
	moved := answer.Source{Body: body, Stage: "draft", Version: "v2"}
	good := allTokens(mine, 4)
	for name, c := range map[string]struct {
		text, problem string
	}{
		"whole":     {good, ""},
		"empty":     {"", "no token"},
		"truncated": {mine.Token(0, 2), "1 of 2"},
		"doubled":   {good + good, "stands at place"},
		"foreign":   {allTokens(other, 4), "is for body"},
		"versions":  {mine.Token(0, 2) + moved.Token(1, 2), "another output"},
		"gap":       {mine.Token(0, 3) + mine.Token(2, 3), "stands at place"},
	} {
		t.Run(name, func(t *testing.T) {
			err := answer.Check(body, "draft", c.text)
			if c.problem == "" {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.problem)))
		})
	}
	coded := `{"end":true,"output":"` + base64.StdEncoding.EncodeToString([]byte(good)) + `"}`
	NewWithT(t).Expect(answer.Check(body, "draft", answer.Text([]byte(coded)))).To(Succeed())
}

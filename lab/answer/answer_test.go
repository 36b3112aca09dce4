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

// TestCheck guards against accepting truncated, duplicated or mixed answers, or answers to another request.
func TestCheck(t *testing.T) {
	body := []byte(`{"id":1}`)
	source := answer.Source{Body: body, Stage: "draft", Version: "v1"}
	otherBody := answer.Source{Body: []byte(`{"id":2}`), Stage: "draft", Version: "v1"}
	otherVersion := answer.Source{Body: body, Stage: "draft", Version: "v2"}
	good := allTokens(source, 4)
	for name, c := range map[string]struct {
		text, problem string
	}{
		"whole":     {good, ""},
		"empty":     {"", "no token"},
		"truncated": {source.Token(0, 2), "1 of 2"},
		"doubled":   {good + good, "is at position"},
		"foreign":   {allTokens(otherBody, 4), "is for body"},
		"versions":  {source.Token(0, 2) + otherVersion.Token(1, 2), "belongs to another output"},
		"gap":       {source.Token(0, 3) + source.Token(2, 3), "is at position"},
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
	encoded := `{"end":true,"output":"` + base64.StdEncoding.EncodeToString([]byte(good)) + `"}`
	NewWithT(t).Expect(answer.Check(body, "draft", answer.Text([]byte(encoded)))).To(Succeed())
}

package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/cmd/cli"
	"bluebellflow/core/canary"
	"bluebellflow/core/domain"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
)

// TestStatus guards against an output that hides silent nodes, uncommitted drains or stopped rollouts.
func TestStatus(t *testing.T) {
	g := NewWithT(t)
	m := canary.Status{Applied: 0, Stopped: true, Score: 12.34}
	m.Name, m.Pool, m.From, m.To, m.State, m.Share = "llm-v2", "llm", "v1", "v2", "running", 25
	m.Deadline, m.Reason = time.Date(2026, 6, 1, 18, 0, 0, 0, time.UTC), "failures"
	report := node.Report{
		Node: "b-1", Domain: "b", Revision: 3, Ready: true, Open: 2, Silent: []id.Node{"a-2"},
		Nodes: []node.PeerReport{
			{Node: "b-1", Domain: "b", Replied: true, Revision: 3, Open: 2, Ready: true},
			{Node: "a-2", Domain: "a"},
			{Node: "a-1", Domain: "a", Replied: true, Revision: 2, Leaving: true},
		},
		Domains:  []domain.Record{{Domain: "a", Epoch: 4, Drained: true, By: "eva\n", Provisional: true}},
		Rollouts: []canary.Status{m},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer server.Close()
	code, out, errs := runCommand(fakeSystem{}, "", "status", "--node", server.URL)
	g.Expect(code).To(Equal(cli.ExitDone), errs)
	g.Expect(regexp.MustCompile(` +\n`).ReplaceAllString(out, "\n")).To(Equal(`b-1 in b: revision 3, ready, 2 requests open
no response from 1 of 3 nodes: a-2

DOMAIN / NODE  STATE                   REVISION  OPEN  EPOCH  BY    SINCE
a              drained, not committed                  4      eva   1970-01-01T00:00:00Z
  a-1          leaving                 2         0
  a-2          silent                  -         -
b              active                                  0      -     -
  b-1          ready                   3         2

MOVE    POOL  VERSIONS  STATE    SHARE  HERE  EVIDENCE                       FINISH BY
llm-v2  llm   v1 to v2  running  2.5%   0%    stopped, score 12.3: failures  2026-06-01T18:00:00Z
`))
}

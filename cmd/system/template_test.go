package system_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/cmd/system"
)

// fields are what the platform fills in, and cloudFields what it has only in deployments with duties.
var (
	fields = map[string]string{
		"nodeName|json": `"n1"`, "zone|json": `"a"`, "region|json": `"r"`, "ip": "10.0.0.1", "internalPorts.0": "7740", "internalPorts.1": "7755",
		"listen.front|json": `"10.0.0.1:8625"`, "listen.ready|json": `"10.0.0.1:8621"`, "platform.address|json": `"10.0.0.9:8624"`,
		"limits.memoryMb": "284", "limits.maxFds": "4100", "limits.cpuShare": "0.4", "bounds.graceS": "8", "bounds.coldOver": "1.5", "bounds.coldSlack": "5",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "58", "bounds.budgetWindowS": "10",
	}
	cloudFields = map[string]string{
		"cloud.address|json": `"10.0.0.9:8630"`, "cloud.dutyPerS": "50", "cloud.duties|json": `["usage_report","autoscale"]`,
		"bounds.leaseMs": "3000", "bounds.reportWindowS": "5", "bounds.usageLateS": "10",
	}
)

// render fills in the template. Without cloud fields its section is left out.
func render(g *WithT, cloud map[string]string) string {
	raw, err := os.ReadFile("../../deploy/gateway.json")
	g.Expect(err).NotTo(HaveOccurred())
	section := "$2"
	if cloud == nil {
		section = ""
	}
	out := regexp.MustCompile(`(?s){{#(cloud[^}]*)}}(.*?){{/cloud[^}]*}}`).ReplaceAllString(string(raw), section)
	return regexp.MustCompile(`{{(.*?)}}`).ReplaceAllStringFunc(out, func(field string) string {
		name := strings.Trim(field, "{}")
		value, ok := cloud[name]
		if !ok {
			value, ok = fields[name]
		}
		g.Expect(ok).To(BeTrue(), name)
		return value
	})
}

// TestTemplate guards against a template that names a field which the platform does not have, or settings that turn duties on
// where there are none.
func TestTemplate(t *testing.T) {
	for name, cloud := range map[string]map[string]string{"without duties": nil, "with duties": cloudFields} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cfg, _, err := system.System{}.Gateway("boot.json", []byte(render(g, cloud)))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(cfg.NewControl != nil).To(Equal(cloud != nil))
			g.Expect(cfg.Bounds.Duties != nil).To(Equal(cloud != nil))
			if cloud != nil {
				g.Expect(cfg.Bounds.Duties.Usage).NotTo(BeNil())
				g.Expect(cfg.Bounds.Duties.Lease.CallsPerSecond).To(Equal(50.0))
			}
		})
	}
}

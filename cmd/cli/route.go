package cli

import (
	"fmt"
	"strconv"
	"strings"

	"bluebellflow/core/proxy"
	"bluebellflow/io/gateway"
)

type routeCommand struct {
	Host string   `help:"Host of the request." required:""`
	Path string   `help:"Path of the request." required:""`
	Key  string   `help:"API key of the caller."`
	In   int      `help:"Tokens of the prompt."`
	Out  int      `help:"Maximum tokens of the response."`
	Hint int      `help:"Tokens of the response that the caller expects."`
	Part []string `help:"Prompt parts with their tokens, in order; the last one belongs to this request alone." placeholder:"NAME:TOKENS"`
}

// Run shows where a gateway node would send a request.
func (c *routeCommand) Run(e *env) error {
	q := gateway.ExplainQuery{Host: c.Host, Path: c.Path, Key: c.Key, In: c.In, Out: c.Out, Hint: c.Hint}
	for _, part := range c.Part {
		name, count, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 {
			return &exitError{ExitUsage, fmt.Errorf("%q is not a prompt part with its tokens, such as a1:800", part)}
		}
		q.Prompt = append(q.Prompt, proxy.PromptPart{ID: e.system.PromptPart(name), Tokens: tokens})
	}
	return e.postAndWrite("/explain-route", q)
}

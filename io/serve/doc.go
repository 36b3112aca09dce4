// Package serve joins the decision logic and the packages that carry out its actions into one node.
package serve

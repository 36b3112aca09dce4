// Package catalog holds the configuration that a gateway serves: routes, pools, workspaces and limits.
package catalog

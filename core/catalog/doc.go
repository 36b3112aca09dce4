// Package catalog holds the configuration of a gateway: routes, pools, workspaces and limits.
package catalog

package node

import (
	"time"

	"bluebellflow/core/admit"
	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/member"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/request"
	"bluebellflow/core/route"
)

type options struct {
	grace      time.Duration
	member     []member.Option
	config     []config.Option
	domain     []domain.Option
	claim      []claim.Option
	quarantine []quarantine.Option
	route      []route.Option
	admit      []admit.Option
	canary     []canary.Option

	request []request.Option
}

// Option configures a node.
type Option func(*options)

// WithGrace sets the longest time between Stop and Exit. It is limited because the platform removes the VM whether or
// not the process has exited.
func WithGrace(d time.Duration) Option {
	return func(o *options) {
		if d > 0 {
			o.grace = d
		}
	}
}

// WithMember passes options to package member.
func WithMember(opts ...member.Option) Option {
	return func(o *options) { o.member = append(o.member, opts...) }
}

// WithConfig passes options to package config.
func WithConfig(opts ...config.Option) Option {
	return func(o *options) { o.config = append(o.config, opts...) }
}

// WithDomain passes options to package domain.
func WithDomain(opts ...domain.Option) Option {
	return func(o *options) { o.domain = append(o.domain, opts...) }
}

// WithClaim passes options to package claim.
func WithClaim(opts ...claim.Option) Option {
	return func(o *options) { o.claim = append(o.claim, opts...) }
}

// WithQuarantine passes options to package quarantine.
func WithQuarantine(opts ...quarantine.Option) Option {
	return func(o *options) { o.quarantine = append(o.quarantine, opts...) }
}

// WithRoute passes options to package route.
func WithRoute(opts ...route.Option) Option {
	return func(o *options) { o.route = append(o.route, opts...) }
}

// WithAdmit passes options to package admit.
func WithAdmit(opts ...admit.Option) Option {
	return func(o *options) { o.admit = append(o.admit, opts...) }
}

// WithCanary passes options to package canary.
func WithCanary(opts ...canary.Option) Option {
	return func(o *options) { o.canary = append(o.canary, opts...) }
}

// WithRequest passes options to package request.
func WithRequest(opts ...request.Option) Option {
	return func(o *options) { o.request = append(o.request, opts...) }
}

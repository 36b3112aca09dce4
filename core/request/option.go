package request

// Option changes a Requests; all of them take a mechanism away, to show that the proofs notice.
type Option func(*Requests)

// WithoutOrderCheck passes the parts of a stream on as they come.
func WithoutOrderCheck() Option { return func(r *Requests) { r.skipOrderCheck = true } }

// WithoutDiscard takes the answers of attempts that were given up.
func WithoutDiscard() Option { return func(r *Requests) { r.keepAbandoned = true } }

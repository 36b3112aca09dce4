package request

// Option configures a Requests. Every option disables a mechanism, so that tests can show that their checks detect it.
type Option func(*Requests)

// WithoutOrderCheck forwards the parts of a stream in the order in which they arrive.
func WithoutOrderCheck() Option { return func(r *Requests) { r.skipOrderCheck = true } }

// WithoutDiscard accepts the output of abandoned attempts instead of discarding it.
func WithoutDiscard() Option { return func(r *Requests) { r.keepAbandoned = true } }
